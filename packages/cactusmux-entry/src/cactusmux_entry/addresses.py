"""Tells callers which instances to use, and for how long."""

from collections.abc import Callable, Iterable
import math
import random
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_peers import members
from returns import result

LIFETIME_S = 30.0
MAX_ADDRESSES = 4
RETRY_AFTER_S = 2.0


class NoAddresses(failures.CactusmuxError):
    """No instance is known that stays."""

    reason = 'no_addresses'
    retry_after_s = RETRY_AFTER_S

    def __init__(self, zone: str) -> None:
        super().__init__(f'no instance that stays is known in zone {zone!r}')
        self.zone = zone


class AddressAnswer(NamedTuple):
    """Addresses in order of preference; callers keep it ``lifetime_s``."""

    addresses: tuple[str, ...]
    lifetime_s: float


class Place(NamedTuple):
    """Where a caller is: its availability zone and region."""

    zone: str
    region: str

    def distance(self, zone: str, region: str) -> int:
        """Returns 0 within the zone, 1 within the region, 2 elsewhere."""
        if zone == self.zone:
            return 0
        return 1 if region == self.region else 2


class Addresses:
    """Answers members that stay: the caller's zone first, then others.

    The order within a zone is random and drawn anew for each answer, so
    that callers spread; a member with twice the load comes first half as
    often. The last address is of another zone, if there is one, so that a
    caller outlives its zone.

    :param load: requests in flight at a member, as far as is known.
    """

    def __init__(
        self,
        view: Callable[[], Iterable[members.Member]],
        load: Callable[[members.Member], float],
        rng: random.Random,
        lifetime_s: float = LIFETIME_S,
        max_addresses: int = MAX_ADDRESSES,
    ) -> None:
        self._view = view
        self._load = load
        self._rng = rng
        self._lifetime_s = lifetime_s
        self._max_addresses = max_addresses

    def answer(
        self, caller: Place
    ) -> result.Result[AddressAnswer, NoAddresses]:
        """Returns addresses for a caller.

        Members that are leaving or suspected are left out.
        """
        staying = [
            member
            for member in self._view()
            if member.state is members.State.ALIVE
        ]
        if not staying:
            return result.Failure(NoAddresses(caller.zone))
        staying.sort(key=self._draw)
        staying.sort(key=lambda m: caller.distance(m.zone, m.region))
        chosen = staying[: self._max_addresses]
        if all(member.zone == caller.zone for member in chosen):
            chosen = _with_other_zone(chosen, staying, caller)
        addresses = tuple(member.address for member in chosen)
        return result.Success(AddressAnswer(addresses, self._lifetime_s))

    def _draw(self, member: members.Member) -> float:
        """Draws an exponential time; lightly loaded members come early."""
        weight = 1.0 / (1.0 + max(0.0, self._load(member)))
        return -math.log(1.0 - self._rng.random()) / weight


def _with_other_zone(
    chosen: list[members.Member],
    staying: list[members.Member],
    caller: Place,
) -> list[members.Member]:
    """Gives the last place to the nearest member of another zone."""
    others = [member for member in staying if member.zone != caller.zone]
    if not others or len(chosen) < 2:
        return chosen
    return [*chosen[:-1], others[0]]
