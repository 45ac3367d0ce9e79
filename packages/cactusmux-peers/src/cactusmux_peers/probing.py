"""Failure detection by direct and indirect probes."""

from collections.abc import Callable, Iterable
import random

from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from returns import result

from . import encodings
from . import members
from . import membership
from . import peers_pb2
from . import transport
from . import update_queue

PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.5
# The helper of an indirect probe waits for its own probe meanwhile.
PROBE_VIA_TIMEOUT_S = 1.0
SYNC_TIMEOUT_S = 2.0
INDIRECT_PROBES = 3
# A tick that is late by this many periods means the process was paused.
PAUSED_PERIODS = 4.0
REJOIN_PERIODS = 5
# Views that still differ after this many periods are exchanged in full;
# sooner if the queue has more claims than messages can carry soon.
DIFFERENT_VIEW_PERIODS = 15
MANY_CLAIMS_PERIODS = 4
MANY_CLAIMS = 3 * update_queue.MAX_UPDATES

ListAddresses = Callable[[], Iterable[str]]


class Prober:
    """Probes members and rejoins members missing from the view."""

    def __init__(
        self,
        view: membership.Membership,
        peers: transport.PeerTransport,
        list_addresses: ListAddresses,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._peers = peers
        self._list_addresses = list_addresses
        self._timer = timer
        self._metrics = metrics
        self._rng = rng
        self._ticks = 0
        self._last_tick_at = timer.now()
        self._views_differ_since_tick: int | None = None

    def start_period(self) -> None:
        """Expires suspects; tries to rejoin every ``REJOIN_PERIODS``.

        An isolated instance tries to rejoin in each period.
        """
        self._ticks += 1
        self._compensate_for_pause()
        self._view.expire()
        if self._ticks % REJOIN_PERIODS == 0 or self._is_isolated():
            self.rejoin()

    def check(
        self, member: members.Member, pull: peers_pb2.Pull
    ) -> peers_pb2.PullAnswer | None:
        """Probes a member; marks it suspect if no probe reaches it.

        Returns its answer to ``pull``, or ``None`` without a direct answer.
        """
        answer = self._probe(member.peer_address, member.instance_id, pull)
        if answer is not None:
            self._compare_views(member, answer)
            return answer.pulled
        if self._reached_indirectly(member):
            self._metrics.count('peers.probe.reached_indirectly')
        else:
            self._view.suspect(member.instance_id)
        return None

    def rejoin(self) -> None:
        """Exchanges views with one random address missing from the view."""
        addresses = self._missing_addresses()
        if addresses:
            self.sync(self._rng.choice(addresses))

    def probe_random(self, count: int) -> None:
        """Probes ``count`` random members to announce our own state."""
        others = [
            member
            for member in self._view.live()
            if member.instance_id != self._view.own.instance_id
        ]
        for member in self._rng.sample(others, min(count, len(others))):
            self._probe(member.peer_address, member.instance_id)

    def sync(self, peer_address: str) -> bool:
        """Exchanges full views with an instance; returns whether it did."""
        request = peers_pb2.Sync(
            sender=encodings.to_update(self._view.own),
            members=encodings.to_updates(self._view.all()),
        )
        answer = self._peers.call(
            peer_address,
            transport.Method.SYNC,
            request.SerializeToString(),
            SYNC_TIMEOUT_S,
        )
        data = answer.value_or(b'')
        if not data:
            return False
        try:
            parsed = encodings.parse(peers_pb2.SyncAnswer, data)
            answerer = encodings.from_update(parsed.answerer)
            claims = encodings.from_updates(parsed.members)
        except encodings.MalformedError:
            self._metrics.count('peers.answer.malformed')
            return False
        self._metrics.count('peers.sync')
        self._apply_claims(answerer, claims)
        return True

    def handle_probe(self, probe: peers_pb2.Probe) -> peers_pb2.ProbeAnswer:
        """Answers a probe."""
        sender = encodings.from_update(probe.sender)
        self._apply_claims(sender, encodings.from_updates(probe.updates))
        return peers_pb2.ProbeAnswer(
            answerer=encodings.to_update(self._view.own),
            view_hash=self._view.view_hash,
            updates=encodings.to_updates(self._updates_for(sender)),
        )

    def handle_probe_via(
        self, request: peers_pb2.ProbeVia
    ) -> peers_pb2.ProbeViaAnswer:
        """Probes a member on behalf of another instance."""
        sender = encodings.from_update(request.sender)
        self._view.claim(sender)
        answer = self._probe(request.peer_address, request.instance_id)
        if answer is None:
            return peers_pb2.ProbeViaAnswer(reached=False)
        return peers_pb2.ProbeViaAnswer(reached=True, answerer=answer.answerer)

    def handle_sync(self, request: peers_pb2.Sync) -> peers_pb2.SyncAnswer:
        """Merges the view of another instance and returns our own."""
        sender = encodings.from_update(request.sender)
        self._apply_claims(sender, encodings.from_updates(request.members))
        return peers_pb2.SyncAnswer(
            answerer=encodings.to_update(self._view.own),
            members=encodings.to_updates(self._view.all()),
        )

    def _compensate_for_pause(self) -> None:
        now = self._timer.now()
        gap = now - self._last_tick_at
        self._last_tick_at = now
        if gap > PAUSED_PERIODS * PERIOD_S:
            self._metrics.count('peers.paused')
            self._view.extend_suspicions(gap)

    def _is_isolated(self) -> bool:
        return len(self._view.live()) == 1

    def _missing_addresses(self) -> list[str]:
        """Returns known peer addresses that no live member has.

        They come from dead members and from ``list_addresses``.
        """
        own_address = self._view.own.peer_address
        live = {member.peer_address for member in self._view.live()}
        missing = {member.peer_address for member in self._view.dead()}
        missing.update(self._list_addresses())
        return sorted(missing - live - {own_address, ''})

    def _probe(
        self,
        peer_address: str,
        instance_id: str,
        pull: peers_pb2.Pull | None = None,
    ) -> peers_pb2.ProbeAnswer | None:
        """Returns the answer if the expected instance sent it."""
        known = self._view.get(instance_id)
        request = peers_pb2.Probe(
            sender=encodings.to_update(self._view.own),
            view_hash=self._view.view_hash,
            updates=encodings.to_updates(self._updates_for(known)),
            pull=pull,
        )
        called = self._peers.call(
            peer_address,
            transport.Method.PROBE,
            request.SerializeToString(),
            PROBE_TIMEOUT_S,
        )
        if not isinstance(called, result.Success):
            self._metrics.count(f'peers.probe.{called.failure().reason}')
            return None
        try:
            answer = encodings.parse(peers_pb2.ProbeAnswer, called.unwrap())
            answerer = encodings.from_update(answer.answerer)
            claims = encodings.from_updates(answer.updates)
        except encodings.MalformedError:
            self._metrics.count('peers.answer.malformed')
            return None
        self._apply_claims(answerer, claims)
        if answerer.instance_id != instance_id:
            self._view.mark_replaced_dead(answerer)
            return None
        return answer

    def _reached_indirectly(self, member: members.Member) -> bool:
        helpers = [
            helper
            for helper in self._view.live()
            if helper.state is members.State.ALIVE
            and helper.instance_id
            not in (member.instance_id, self._view.own.instance_id)
        ]
        count = min(INDIRECT_PROBES, len(helpers))
        for helper in self._rng.sample(helpers, count):
            if self._probe_via(helper, member):
                return True
        return False

    def _probe_via(
        self, helper: members.Member, member: members.Member
    ) -> bool:
        request = peers_pb2.ProbeVia(
            instance_id=member.instance_id,
            peer_address=member.peer_address,
            sender=encodings.to_update(self._view.own),
        )
        called = self._peers.call(
            helper.peer_address,
            transport.Method.PROBE_VIA,
            request.SerializeToString(),
            PROBE_VIA_TIMEOUT_S,
        )
        try:
            answer = encodings.parse(
                peers_pb2.ProbeViaAnswer, called.value_or(b'')
            )
            if answer.reached:
                self._view.claim(encodings.from_update(answer.answerer))
        except encodings.MalformedError:
            self._metrics.count('peers.answer.malformed')
            return False
        return answer.reached

    def _apply_claims(
        self, sender: members.Member, claims: Iterable[members.Member]
    ) -> None:
        if self._view.claim(sender):
            self._view.mark_replaced_dead(sender)
        for claim in claims:
            self._view.claim(claim)

    def _updates_for(
        self, receiver: members.Member | None
    ) -> list[members.Member]:
        """Returns queued updates, and a claim the receiver may refute."""
        updates = self._view.queue.take(len(self._view.live()))
        known = receiver and self._view.get(receiver.instance_id)
        if known and known.state in (
            members.State.SUSPECT,
            members.State.DEAD,
        ):
            updates.append(known)
        return updates

    def _compare_views(
        self, member: members.Member, answer: peers_pb2.ProbeAnswer
    ) -> None:
        """Exchanges full views if they differ for too many periods."""
        if answer.view_hash == self._view.view_hash:
            self._views_differ_since_tick = None
            return
        if self._views_differ_since_tick is None:
            self._views_differ_since_tick = self._ticks
        many = len(self._view.queue) > MANY_CLAIMS
        allowed_periods = (
            MANY_CLAIMS_PERIODS if many else DIFFERENT_VIEW_PERIODS
        )
        if self._ticks - self._views_differ_since_tick < allowed_periods:
            return
        if self.sync(member.peer_address):
            self._views_differ_since_tick = None
