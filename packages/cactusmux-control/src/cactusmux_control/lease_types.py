"""Settings, authority, record and errors of a lease."""

from typing import NamedTuple

from cactusmux_base import failures
import msgspec


class LeaseSettings(NamedTuple):
    """Durations of a lease, in seconds.

    The store expires the lease ``ttl_s`` after its last renewal. The holder
    stops ``margin_s`` earlier to allow for clock drift. ``period_s`` is the
    time between renewals, and between attempts of a candidate.
    ``delivery_s`` is the timeout for delivering one order, connecting and
    writing included.
    """

    ttl_s: float = 10.0
    margin_s: float = 2.0
    period_s: float = 2.0
    delivery_s: float = 4.0


DEFAULT_SETTINGS = LeaseSettings()


class Authority(NamedTuple):
    """Permission to send orders until a time of the holder's own clock.

    ``unfenced_from`` is the earliest time for an order to a target that
    ignores fencing numbers. Before ``valid_from``, a holder that doesn't know
    yet that the store was restored may still act on its lost lease.
    """

    fencing: int
    valid_until: float
    unfenced_from: float
    valid_from: float = 0.0


class LeaseRecord(msgspec.Struct, frozen=True):
    """The value of the lease's key; ``claim_id`` is unique per attempt."""

    holder: str
    claim_id: str


class LeaseExpired(failures.CactusmuxError):
    """The holder's own clock passed the end of the lease."""

    reason = 'lease_expired'

    def __init__(self, name: str) -> None:
        super().__init__(f'lease {name!r} was not renewed in time')
        self.name = name


class LeaseEraEnded(failures.CactusmuxError):
    """The store was restored; it may have lost the lease."""

    reason = 'lease_era_ended'

    def __init__(self, name: str, era: int) -> None:
        super().__init__(f'lease {name!r} was granted in era {era}')
        self.name = name
        self.era = era


class LeaseReleased(failures.CactusmuxError):
    """The holder released the lease."""

    reason = 'lease_released'

    def __init__(self, name: str) -> None:
        super().__init__(f'lease {name!r} was released')
        self.name = name
