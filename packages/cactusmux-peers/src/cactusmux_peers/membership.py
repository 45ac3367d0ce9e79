"""The membership view of one instance, which only claims change.

The protocol is SWIM with suspicion: a member is declared dead only after
it has been suspected for some time, and a member that receives a false
claim about itself refutes it with a higher incarnation.
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
# Longer than a network partition between regions may last, so that the
# members of both sides still try to reach each other when it ends.
DEAD_RETENTION_S = 3 * 3600.0
LEFT_RETENTION_S = 600.0

Listener = Callable[[members.Member], None]


class Membership:
    """Holds the members and decides which claims to accept."""

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
        self._inactive_since_by_id: dict[str, float] = {}
        self._listeners: list[Listener] = []
        self._live: tuple[members.Member, ...] | None = None
        self._put(own)

    def subscribe(self, listener: Listener) -> None:
        """Registers ``listener``, called with each changed member."""
        self._listeners.append(listener)

    def get(self, instance_id: str) -> members.Member | None:
        """Returns a member by id in any state; ``None`` if unknown."""
        return self._member_by_id.get(instance_id)

    def all(self) -> tuple[members.Member, ...]:
        """Returns all members, including dead ones and ones that left."""
        return tuple(self._member_by_id.values())

    def live(self) -> tuple[members.Member, ...]:
        """Returns all live members ordered by id, with this instance."""
        if self._live is None:
            live = [m for m in self._member_by_id.values() if m.is_live]
            self._live = tuple(sorted(live, key=lambda m: m.instance_id))
        return self._live

    def dead(self) -> tuple[members.Member, ...]:
        """Returns the dead members, which may still rejoin."""
        return tuple(
            member
            for instance_id in self._inactive_since_by_id
            if (member := self._member_by_id[instance_id]).state
            is members.State.DEAD
        )

    def claim(self, claim: members.Member) -> bool:
        """Applies a claim if it takes precedence; returns whether it did."""
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
        """Marks a live member as suspect because it did not answer."""
        known = self._member_by_id.get(instance_id)
        if known is None or not known.is_live:
            return
        if known.state is members.State.SUSPECT:
            return
        self._metrics.count('peers.member.suspected')
        self.claim(known._replace(state=members.State.SUSPECT))

    def mark_replaced_dead(self, answerer: members.Member) -> None:
        """Marks members dead whose peer address ``answerer`` now uses.

        ``answerer`` must have just called or answered this instance, not
        be known from another member's claim.
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
        """Sets the state of this instance under a higher incarnation."""
        self._set_own(self.own.incarnation + 1, state)

    def expire(self) -> None:
        """Declares overdue suspects dead; removes old dead members."""
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
        self._remove_expired(now)

    def extend_suspicions(self, seconds: float) -> None:
        """Extends all suspicion timeouts, after a pause of this process."""
        for instance_id in self._suspect_until_by_id:
            self._suspect_until_by_id[instance_id] += seconds

    def suspicion_s(self) -> float:
        """Returns the suspicion timeout, in seconds."""
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
        self._toggle_in_view_hash(known)
        self._toggle_in_view_hash(member)
        self._update_deadlines(member)
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

    def _update_deadlines(self, member: members.Member) -> None:
        now = self._timer.now()
        if member.state is members.State.SUSPECT:
            until = now + self.suspicion_s()
            self._suspect_until_by_id[member.instance_id] = until
        else:
            self._suspect_until_by_id.pop(member.instance_id, None)
        if member.is_live:
            self._inactive_since_by_id.pop(member.instance_id, None)
        else:
            self._inactive_since_by_id[member.instance_id] = now

    def _toggle_in_view_hash(self, member: members.Member | None) -> None:
        if member is None or not member.is_live:
            return
        text = f'{member.instance_id} {member.incarnation}'
        self.view_hash ^= zlib.crc32(text.encode())

    def _remove_expired(self, now: float) -> None:
        for instance_id, inactive_since in list(
            self._inactive_since_by_id.items()
        ):
            left = self._member_by_id[instance_id].state is members.State.LEFT
            if now - inactive_since < (
                LEFT_RETENTION_S if left else DEAD_RETENTION_S
            ):
                continue
            del self._inactive_since_by_id[instance_id]
            del self._member_by_id[instance_id]
