"""The periodic gossip round, which probes and pulls in a single call."""

import enum

from . import exchange
from . import members
from . import neighbours as neighbours_lib
from . import probing
from . import soft_state


class _Turn(enum.Enum):
    """The kind of member called in a period."""

    PARENT = enum.auto()
    REGION = enum.auto()
    ELSEWHERE = enum.auto()


_TURNS = (
    _Turn.PARENT,
    _Turn.REGION,
    _Turn.PARENT,
    _Turn.ELSEWHERE,
    _Turn.PARENT,
    _Turn.REGION,
)


class Rounds:
    """Alternates between the tree parent, the region and other regions.

    A call costs far more than its payload, so each call serves both
    failure detection and state exchange.
    """

    def __init__(
        self,
        prober: probing.Prober,
        exchanger: exchange.Exchange,
        neighbours: neighbours_lib.Neighbours,
        state: soft_state.SoftState,
    ) -> None:
        self._prober = prober
        self._exchange = exchanger
        self._neighbours = neighbours
        self._state = state
        self._ticks = 0

    def tick(self) -> None:
        """Runs one period."""
        self._prober.start_period()
        self._state.tick()
        turn = _TURNS[self._ticks % len(_TURNS)]
        self._ticks += 1
        self._call(self._choose(turn))

    def _choose(self, turn: _Turn) -> members.Member | None:
        chosen: members.Member | None = None
        if turn is _Turn.PARENT:
            chosen = self._state.demand_tree.parent()
        elif turn is _Turn.ELSEWHERE:
            chosen = self._neighbours.next(neighbours_lib.Scope.ELSEWHERE)
        return (
            chosen
            or self._neighbours.next(neighbours_lib.Scope.REGION)
            or self._neighbours.next(neighbours_lib.Scope.ELSEWHERE)
        )

    def _call(self, member: members.Member | None) -> None:
        if member is None:
            return
        pull = self._exchange.pull_for(member)
        answer = self._prober.check(member, pull)
        if answer is not None:
            self._exchange.merge_answer(answer)
