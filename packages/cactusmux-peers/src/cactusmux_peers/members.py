"""The state of one instance, and the precedence of claims about it."""

from collections.abc import Mapping
import enum
from typing import NamedTuple


class State(enum.IntEnum):
    """The state of a member in the view of one instance."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


LIVE_STATES = frozenset((State.ALIVE, State.LEAVING, State.SUSPECT))

# Among claims with the same incarnation the higher rank takes precedence.
# LEAVING needs no rank of its own: only the member itself announces it, and
# it increments its incarnation to do so.
_RANK_BY_STATE = {
    State.ALIVE: 0,
    State.LEAVING: 0,
    State.SUSPECT: 1,
    State.DEAD: 2,
    State.LEFT: 3,
}


class Member(NamedTuple):
    """One instance, as seen in a membership view.

    ``instance_id`` is new at each start. Clients connect to ``address``,
    other instances to ``peer_address``. Only the member itself increments
    its ``incarnation``.
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
        """Whether the member has neither left nor been declared dead."""
        return self.state in LIVE_STATES

    @property
    def is_eligible(self) -> bool:
        """Whether jobs may be assigned to the member."""
        return self.state in (State.ALIVE, State.SUSPECT)


def supersedes(claim: Member, known: Member) -> bool:
    """Returns whether ``claim`` replaces ``known`` of the same instance."""
    claim_order = (claim.incarnation, _RANK_BY_STATE[claim.state])
    return claim_order > (known.incarnation, _RANK_BY_STATE[known.state])
