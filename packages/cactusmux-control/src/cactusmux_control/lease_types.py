"""What a lease is made of: its times, its authority, how it ends."""

from typing import NamedTuple

from cactusmux_base import failures
import msgspec


class LeaseSettings(NamedTuple):
    """Times of a lease, in seconds.

    The store ends the lease ``ttl_s`` after its last renewal; the holder
    stops ``margin_s`` earlier, which covers clocks that run at different
    rates. ``period_s`` is the time between renewals, and between attempts
    of an instance that waits for the lease. ``delivery_s`` is the deadline
    for delivering one order: to connect and to write it.
    """

    ttl_s: float = 10.0
    margin_s: float = 2.0
    period_s: float = 2.0
    delivery_s: float = 4.0


DEFAULT_SETTINGS = LeaseSettings()


class Authority(NamedTuple):
    """The right to send orders, until a time of the holder's own clock.

    ``unfenced_from`` is when a target that ignores fencing numbers may get
    its first order under this authority.
    """

    fencing: int
    valid_until: float
    unfenced_from: float


class LeaseRecord(msgspec.Struct, frozen=True):
    """The value of the lease's key; ``claim_id`` is new on each attempt."""

    holder: str
    claim_id: str


class LeaseExpired(failures.CactusmuxError):
    """The holder's own clock passed the end of the lease."""

    reason = 'lease_expired'

    def __init__(self, name: str) -> None:
        super().__init__(f'lease {name!r} was not renewed in time')
        self.name = name


class LeaseReleased(failures.CactusmuxError):
    """The holder gave the lease up."""

    reason = 'lease_released'

    def __init__(self, name: str) -> None:
        super().__init__(f'lease {name!r} was released')
        self.name = name
