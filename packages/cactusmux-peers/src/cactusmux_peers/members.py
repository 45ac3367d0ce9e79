"""What is known of one instance, and which of two claims prevails."""

from collections.abc import Mapping
import enum
from typing import NamedTuple


class State(enum.IntEnum):
    """The state of a member, as far as the holder of the view knows."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


LIVE_STATES = frozenset((State.ALIVE, State.LEAVING, State.SUSPECT))

# Of claims with one incarnation the higher rank prevails. Only the member
# itself says that it is leaving, and it raises its incarnation to do so.
_RANK_BY_STATE = {
    State.ALIVE: 0,
    State.LEAVING: 0,
    State.SUSPECT: 1,
    State.DEAD: 2,
    State.LEFT: 3,
}


class Member(NamedTuple):
    """One instance in the view of another.

    ``instance_id`` is new at each start; ``address`` is where callers
    connect, ``peer_address`` where instances do. Only the member itself
    raises its ``incarnation``.
    """

    instance_id: str
    address: str
    peer_address: str
    region: str
    zone: str
    incarnation: int = 1
    state: State = State.ALIVE
    revision_by_service: Mapping[str, int] = {}

    @property
    def is_live(self) -> bool:
        """Tells whether it is not known to have failed or gone."""
        return self.state in LIVE_STATES

    @property
    def is_eligible(self) -> bool:
        """Tells whether it may be given jobs."""
        return self.state in (State.ALIVE, State.SUSPECT)


def supersedes(claim: Member, known: Member) -> bool:
    """Tells whether ``claim`` replaces ``known`` of the same instance."""
    claim_order = (claim.incarnation, _RANK_BY_STATE[claim.state])
    return claim_order > (known.incarnation, _RANK_BY_STATE[known.state])
