"""One instance's share of a rate that all instances divide among them."""

import math


class ShareBucket:
    """A token bucket whose unused credit expires in whole requests.

    An instance may send while there is no debt, and pays afterwards. With
    many instances a share is far smaller than one request. If unused credit
    accumulated, or were cut at a maximum, the credit of all idle instances
    together would be a burst. Here it expires by one request at a time, so
    that only a part of the instances has credit at any moment, and the
    instances that began at different points of the cycle keep their distance.

    :ivar level: credit, negative while there is debt; in the unit in which
        requests are measured.
    """

    def __init__(self, now: float, level: float) -> None:
        self._at = now
        self.level = level

    @property
    def has_credit(self) -> bool:
        """Whether a request may be sent."""
        return self.level >= 0.0

    def update(
        self, now: float, rate: float, max_credit: float, cycle: float
    ) -> None:
        """Updates the level to the current time.

        :param rate: share of this instance, per second.
        :param max_credit: credit above this expires.
        :param cycle: size of the request whose credit expires.
        """
        self.level += (now - self._at) * rate
        self._at = now
        excess = self.level - max_credit
        if excess > 0.0:
            self.level -= math.ceil(excess / cycle) * cycle

    def charge(self, amount: float) -> None:
        """Charges a request; the remaining credit may be used by others."""
        self.level -= amount

    def charge_all(self, amount: float) -> None:
        """Charges a request; the remaining credit expires."""
        self.level = min(self.level, 0.0) - amount

    def refund(self, amount: float) -> None:
        """Refunds a debt; credit that was used up isn't restored."""
        if self.level < 0.0:
            self.level = min(self.level + amount, 0.0)

    def wait_s(self, rate: float) -> float:
        """Returns the time until the debt is paid off, in seconds."""
        return max(0.0, -self.level) / rate
