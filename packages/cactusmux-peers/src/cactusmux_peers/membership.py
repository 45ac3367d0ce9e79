"""One instance's view of all members, changed by claims alone.

The rules are those of SWIM with suspicion: a member is dead only after it
has stayed suspect for a while, and any member that hears a false claim of
itself refutes it with a higher incarnation.
"""

from collections.abc import Callable
import math
import zlib

from cactusmux_base import events
from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers

from . import members
from . import update_queue

SUSPICION_PERIODS = 3.0
# Longer than the time for which regions may lose each other.
DEAD_RETENTION_S = 3 * 3600.0
LEFT_RETENTION_S = 600.0

Listener = Callable[[members.Member], None]


class Membership:
    """Holds the members and decides which claims to believe."""

    def __init__(
        self,
        own: members.Member,
        period_s: float,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self.own = own
        self.queue = update_queue.UpdateQueue()
        self.view_hash = 0
        self._period_s = period_s
        self._timer = timer
        self._metrics = metrics
        self._member_by_id: dict[str, members.Member] = {}
        self._suspect_until_by_id: dict[str, float] = {}
        self._gone_at_by_id: dict[str, float] = {}
        self._listeners: list[Listener] = []
        self._live: tuple[members.Member, ...] | None = None
        self._put(own)

    def subscribe(self, listener: Listener) -> None:
        """Calls ``listener`` with each member that has changed."""
        self._listeners.append(listener)

    def get(self, instance_id: str) -> members.Member | None:
        """Returns a member by its id, in whatever state."""
        return self._member_by_id.get(instance_id)

    def all(self) -> tuple[members.Member, ...]:
        """Returns all members, the dead and those that left too."""
        return tuple(self._member_by_id.values())

    def live(self) -> tuple[members.Member, ...]:
        """Returns all live members by id, this instance among them."""
        if self._live is None:
            live = [m for m in self._member_by_id.values() if m.is_live]
            self._live = tuple(sorted(live, key=lambda m: m.instance_id))
        return self._live

    def dead(self) -> tuple[members.Member, ...]:
        """Returns the members that may still come back."""
        return tuple(
            member
            for instance_id in self._gone_at_by_id
            if (member := self._member_by_id[instance_id]).state
            is members.State.DEAD
        )

    def claim(self, claim: members.Member) -> bool:
        """Takes over a claim if it prevails; returns whether it did."""
        if claim.instance_id == self.own.instance_id:
            return self._refute(claim)
        known = self._member_by_id.get(claim.instance_id)
        if known is None and not claim.is_live:
            return False
        if known is not None and not members.supersedes(claim, known):
            return False
        self._put(claim)
        self.queue.add(claim)
        return True

    def suspect(self, instance_id: str) -> None:
        """Claims that a live member does not answer."""
        known = self._member_by_id.get(instance_id)
        if known is None or not known.is_live:
            return
        if known.state is members.State.SUSPECT:
            return
        self._metrics.count('peers.member.suspected')
        self.claim(known._replace(state=members.State.SUSPECT))

    def mark_replaced_dead(self, answerer: members.Member) -> None:
        """Claims others dead whose address ``answerer`` has by now.

        Only for a member that has just called or answered us itself.
        """
        for known in self.live():
            if known.peer_address != answerer.peer_address:
                continue
            if known.instance_id in (
                answerer.instance_id,
                self.own.instance_id,
            ):
                continue
            self._metrics.count('peers.member.replaced')
            self.claim(known._replace(state=members.State.DEAD))

    def announce(self, state: members.State) -> None:
        """Raises the own incarnation to tell a new state of ourselves."""
        self._set_own(self.own.incarnation + 1, state)

    def expire(self) -> None:
        """Declares suspects dead whose time is over; forgets old ones."""
        now = self._timer.now()
        overdue = [
            instance_id
            for instance_id, until in self._suspect_until_by_id.items()
            if until <= now
        ]
        for instance_id in overdue:
            known = self._member_by_id[instance_id]
            self._metrics.count('peers.member.dead')
            self.claim(known._replace(state=members.State.DEAD))
        self._forget_gone(now)

    def extend_suspicions(self, seconds: float) -> None:
        """Gives suspects more time, after this instance was paused."""
        for instance_id in self._suspect_until_by_id:
            self._suspect_until_by_id[instance_id] += seconds

    def suspicion_s(self) -> float:
        """Returns how long a suspect has to refute, in seconds."""
        digits = max(1.0, math.log10(len(self.live()) + 1))
        return SUSPICION_PERIODS * digits * self._period_s

    def _refute(self, claim: members.Member) -> bool:
        if not members.supersedes(claim, self.own):
            return False
        self._metrics.count('peers.member.refuted')
        self._set_own(claim.incarnation + 1, self.own.state)
        return True

    def _set_own(self, incarnation: int, state: members.State) -> None:
        self.own = self.own._replace(incarnation=incarnation, state=state)
        self._put(self.own)
        self.queue.add(self.own)

    def _put(self, member: members.Member) -> None:
        known = self._member_by_id.get(member.instance_id)
        self._member_by_id[member.instance_id] = member
        self._live = None
        self._rehash(known)
        self._rehash(member)
        self._note_deadlines(member)
        if known is None or known.state is not member.state:
            events.info(
                'member_changed',
                instance=member.instance_id,
                peer_address=member.peer_address,
                state=member.state.name.lower(),
                incarnation=member.incarnation,
            )
        for listener in self._listeners:
            listener(member)

    def _note_deadlines(self, member: members.Member) -> None:
        now = self._timer.now()
        if member.state is members.State.SUSPECT:
            until = now + self.suspicion_s()
            self._suspect_until_by_id[member.instance_id] = until
        else:
            self._suspect_until_by_id.pop(member.instance_id, None)
        if member.is_live:
            self._gone_at_by_id.pop(member.instance_id, None)
        else:
            self._gone_at_by_id[member.instance_id] = now

    def _rehash(self, member: members.Member | None) -> None:
        if member is None or not member.is_live:
            return
        text = f'{member.instance_id} {member.incarnation}'
        self.view_hash ^= zlib.crc32(text.encode())

    def _forget_gone(self, now: float) -> None:
        for instance_id, gone_at in list(self._gone_at_by_id.items()):
            left = self._member_by_id[instance_id].state is members.State.LEFT
            if now - gone_at < (
                LEFT_RETENTION_S if left else DEAD_RETENTION_S
            ):
                continue
            del self._gone_at_by_id[instance_id]
            del self._member_by_id[instance_id]
