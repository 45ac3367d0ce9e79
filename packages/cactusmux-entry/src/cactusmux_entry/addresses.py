"""Selects the instance addresses that callers use, and their lifetime."""

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
    """No available instance is known."""

    reason = 'no_addresses'
    retry_after_s = RETRY_AFTER_S

    def __init__(self, zone: str) -> None:
        super().__init__(f'no instance that stays is known in zone {zone!r}')
        self.zone = zone


class AddressAnswer(NamedTuple):
    """Addresses in order of preference; cached for ``lifetime_s`` seconds."""

    addresses: tuple[str, ...]
    lifetime_s: float


class Place(NamedTuple):
    """Location of a caller: its availability zone and region."""

    zone: str
    region: str

    def distance(self, zone: str, region: str) -> int:
        """Returns 0 within the zone, 1 within the region, 2 elsewhere."""
        if zone == self.zone:
            return 0
        return 1 if region == self.region else 2


class Addresses:
    """Selects available members, those in the caller's zone first.

    Members of a zone are shuffled for each response to spread callers. A
    member with twice the load comes first half as often. The last address
    is in another zone, if possible, so that callers survive the loss of
    their zone.

    :param view: returns the known members.
    :param load: returns the known number of requests in flight at a member.
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

        Members that are leaving or suspected are excluded.
        """
        available = [
            member
            for member in self._view()
            if member.state is members.State.ALIVE
        ]
        if not available:
            return result.Failure(NoAddresses(caller.zone))
        available.sort(key=self._random_sort_key)
        available.sort(key=lambda m: caller.distance(m.zone, m.region))
        chosen = available[: self._max_addresses]
        if all(member.zone == caller.zone for member in chosen):
            chosen = _ensure_other_zone(chosen, available, caller)
        addresses = tuple(member.address for member in chosen)
        return result.Success(AddressAnswer(addresses, self._lifetime_s))

    def _random_sort_key(self, member: members.Member) -> float:
        """Returns an exponential sort key, smaller on average at low load."""
        weight = 1.0 / (1.0 + max(0.0, self._load(member)))
        return -math.log(1.0 - self._rng.random()) / weight


def _ensure_other_zone(
    chosen: list[members.Member],
    available: list[members.Member],
    caller: Place,
) -> list[members.Member]:
    """Replaces the last member by the nearest one in another zone."""
    others = [member for member in available if member.zone != caller.zone]
    if not others or len(chosen) < 2:
        return chosen
    return [*chosen[:-1], others[0]]
