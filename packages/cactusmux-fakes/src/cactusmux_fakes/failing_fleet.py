"""Simulates a fleet of instances whose targets fail streams.

Instances choose paths and exchange gossip. There are no sockets: time comes
from a manual timer, datagrams are method calls that may be lost, and a target
either fails a stream or runs it for its whole duration.
"""

import functools
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import ejection_reports
from cactusmux_relay import failing_targets
from cactusmux_relay import gossip_handler
from cactusmux_relay import http_server
from cactusmux_relay import immediate_news
from cactusmux_relay import load_tracker
from cactusmux_relay import path_choice
from cactusmux_relay import path_finder
from cactusmux_relay import refused_callers
from cactusmux_relay import retry_budget
from cactusmux_relay import slow_targets
from cactusmux_relay import soft_exchange
from cactusmux_relay import target_registry
from cactusmux_relay import targets

from . import relay_rig
from . import sample_engine
from . import silent_orders

DEMAND = path_choice.Demand(774.0, 210.0, 0.25)
MAX_ATTEMPTS = 2
RETRY_RATIO = 0.2
RETRY_ALLOWANCE = 487.0
RETRY_WINDOW_S = 10.0
# Times to an error response, and to a first event.
FAILURE_S = 0.005
FIRST_EVENT_S = 0.08
DELIVERY_S = 0.002
STATUS_FAILED = 500


class Layout(NamedTuple):
    """Targets with one type of card, in chains of equal layer ranges."""

    card: str
    count_by_zone: dict[str, int]
    layers: int


# 93 targets in three zones; each holds as many layers as leave memory for the
# KV cache.
LAYOUTS = (
    Layout('a100', {'a': 3, 'b': 2, 'c': 4}, 27),
    Layout('v100', {'a': 14, 'b': 24, 'c': 10}, 7),
    Layout('l4', {'a': 16, 'b': 9, 'c': 11}, 10),
)


class Result(NamedTuple):
    """Results of callers over an interval.

    :ivar asked: new requests.
    :ivar failed: requests that also failed when the caller retried once.
    :ivar answers: error responses of targets.
    """

    asked: int
    failed: int
    answers: int

    @property
    def lost_share(self) -> float:
        """Returns the fraction of requests that failed after the retry."""
        return self.failed / max(1, self.asked)


class _DiscardingAnswerer(http_server.Answerer):
    """Discards responses; callers are only counted."""

    def answer(
        self, status: int, headers: http_server.Headers, body: bytes
    ) -> None:
        return

    def start(self, status: int, headers: http_server.Headers) -> None:
        return

    def send(self, data: bytes) -> None:
        return

    def finish(self) -> None:
        return

    def abort(self) -> None:
        return


class _Member:
    """One instance: its state, its gossip and its path choices."""

    def __init__(self, fleet: 'FailingFleet', name: str) -> None:
        timer, rng, book = fleet.timer, fleet.rng, fleet.book
        metric = fleet.metric
        self.name = name
        self.ledger = load_tracker.LoadTracker(timer)
        self.ledger.set_instances(fleet.size)
        down = down_targets.DownTargets(timer, rng)
        paces = slow_targets.SlowTargets(silent_orders.SilentOrders(), timer)
        self.reports = ejection_reports.EjectionReports(
            name, book, timer, metric, rng, self._request_immediate_send
        )
        self.failing = failing_targets.FailingTargets(
            book, self.ledger, self.reports, timer, metric, rng
        )
        self.finder = path_finder.PathFinder(
            book,
            self.ledger,
            down,
            paces,
            timer,
            metric,
            backoffs.Backoffs(book, timer, metric),
            rng,
            soft_exclusions=fleet.exclusions(self),
        )
        self.budget = retry_budget.RetryBudget(
            timer, RETRY_RATIO, RETRY_ALLOWANCE, RETRY_WINDOW_S
        )
        self.budget.set_instances(fleet.size)
        self.gossip = gossip_handler.GossipHandler(
            name,
            lambda: False,
            {},
            self.ledger,
            book,
            down,
            paces,
            refused_callers.RefusedCallers(timer, rng),
            topics=(self.reports,) if fleet.tells else (),
        )
        self.immediate = immediate_news.ImmediateNews(
            timer,
            rng,
            lambda: [each for each in fleet.member_by_name if each != name],
            lambda peers: fleet.deliver(self, peers),
        )
        timer.after(
            rng.uniform(0.0, soft_exchange.SAMPLE_PERIOD_S), self._start_gossip
        )
        self._fleet = fleet

    def _start_gossip(self) -> None:
        self._fleet.timer.every(
            soft_exchange.SAMPLE_PERIOD_S, self._send_gossip
        )

    def _request_immediate_send(self) -> None:
        if self._fleet.tells:
            self.immediate.request_send()

    def _send_gossip(self) -> None:
        peers = list(self._fleet.member_by_name)
        count = min(soft_exchange.SAMPLE_SIZE, len(peers))
        self._fleet.deliver(self, self._fleet.rng.sample(peers, count))


class FailingFleet:
    """All instances, the targets that fail, and the results of callers.

    :ivar bad_ids: targets that fail the streams sent to them.
    :param is_blame_named: whether an error response names the failed target.
    :param fails_inside: whether a target also fails streams for which it is
        not the first stage.
    :param max_attempts: attempts per request at one instance.
    :param tells: whether instances report ejected targets to each other.
    :param excludes: whether ejected targets are softly excluded at all.
    """

    def __init__(
        self,
        size: int,
        streams_per_s: float,
        seed: int,
        is_blame_named: bool = True,
        fails_inside: bool = True,
        max_attempts: int = MAX_ATTEMPTS,
        tells: bool = True,
        excludes: bool = True,
        loss: float = 0.1,
    ) -> None:
        self.size = size
        self.timer = timers.ManualTimers()
        self.rng = random.Random(seed)
        self.metric = metrics.MemoryMetrics()
        self.tells = tells
        self.bad_ids: set[str] = set()
        self._answers = 0
        self._excludes = excludes
        self._loss = loss
        self._is_blame_named = is_blame_named
        self._fails_inside = fails_inside
        self._max_attempts = max_attempts
        self._streams_per_s = streams_per_s
        self._asked = 0
        self._failed = 0
        state = relay_rig.make_desired_state()
        self._service = state.service_by_name[sample_engine.SERVICE]
        self._route = state.routes[0]
        self.book = target_registry.TargetRegistry()
        self.targets = model_targets()
        self.book.replace(self.targets, state.service_by_name)
        self.member_by_name: dict[str, _Member] = {}
        for index in range(size):
            name = f'instance-{index:02}'
            self.member_by_name[name] = _Member(self, name)
        self._members = list(self.member_by_name.values())
        self._schedule_arrival()

    def exclusions(
        self, member: _Member
    ) -> tuple[path_finder.SoftExclusion, ...]:
        """Returns the soft exclusions of an instance."""
        return (member.failing.ids,) if self._excludes else ()

    def deliver(self, sender: _Member, peers: list[str]) -> None:
        """Sends gossip to instances; messages are lost at random."""
        gossip = sender.gossip.build_message()
        for name in peers:
            if name == sender.name or self.rng.random() < self._loss:
                continue
            receiver = self.member_by_name[name]
            self.timer.after(
                DELIVERY_S,
                functools.partial(receiver.gossip.handle_message, gossip),
            )

    def play(self, seconds: float) -> Result:
        """Simulates an interval; returns the results of its requests."""
        self._asked = self._failed = self._answers = 0
        self.timer.advance(seconds)
        return Result(self._asked, self._failed, self._answers)

    def _schedule_arrival(self) -> None:
        self.timer.after(
            self.rng.expovariate(self._streams_per_s), self._arrive
        )

    def _arrive(self) -> None:
        self._asked += 1
        self._send_request(is_retry=False)
        self._schedule_arrival()

    def _send_request(self, is_retry: bool) -> None:
        member = self.rng.choice(self._members)
        member.budget.record_request(sample_engine.SERVICE)
        self._attempt(member, set(), 1, is_retry)

    def _attempt(
        self, member: _Member, avoided: set[str], send: int, is_retry: bool
    ) -> None:
        choice = self._choose(member, avoided)
        if choice.path is None:
            self._end_failed(is_retry)
            return
        path = choice.path
        ids = [stage.target.id for stage in path]
        pauses = DEMAND.answer_tokens / sample_engine.ENGINE.event_tokens
        duration_s = pauses * choice.pause_ms / cost_model.MS_PER_S
        trial = member.failing.begin('r1', path, DEMAND.tokens, duration_s)
        member.ledger.add(ids, DEMAND.tokens)
        at_fault = self._find_failing_target(path)
        if at_fault is None:
            self.timer.after(FIRST_EVENT_S, trial.record_event)
            self.timer.after(
                duration_s, lambda: member.ledger.remove(ids, DEMAND.tokens)
            )
            return
        named = at_fault.address if self._is_blame_named else None

        def fail() -> None:
            member.ledger.remove(ids, DEMAND.tokens)
            self._answers += 1
            excluded = avoided | {
                trial.record_error_response(STATUS_FAILED, named)
            }
            may_retry = send < self._max_attempts
            if may_retry and member.budget.take(sample_engine.SERVICE):
                self._attempt(member, excluded, send + 1, is_retry)
            else:
                self._end_failed(is_retry)

        self.timer.after(FAILURE_S, fail)

    def _find_failing_target(
        self, path: cost_model.Path
    ) -> targets.Target | None:
        """Returns the first target of a path that fails streams."""
        stages = path if self._fails_inside else path[:1]
        for stage in stages:
            if stage.target.id in self.bad_ids:
                return stage.target
        return None

    def _choose(
        self, member: _Member, avoided: set[str]
    ) -> path_choice.Choice:
        facts = dialect.RequestFacts(
            'r1', 'h', None, None, '', 774.0, 210.0, None, None, []
        )
        exchange = context.Exchange(
            request=http_server.Request('POST', '/', (), b'', 0.0),
            facts=facts,
            answerer=_DiscardingAnswerer(),
            route=self._route,
            service=self._service,
            organisation=None,
            ends_at=self.timer.now() + 20.0,
        )
        return member.finder.choose(exchange, DEMAND, avoided, 0.0)

    def _end_failed(self, is_retry: bool) -> None:
        """Retries once, at once and at a random instance."""
        if is_retry:
            self._failed += 1
        else:
            self._send_request(is_retry=True)


def model_targets() -> list[targets.Target]:
    """Returns 93 targets that hold parts of the model."""
    found: list[targets.Target] = []
    for layout in LAYOUTS:
        starts = range(0, sample_engine.ENGINE.layers, layout.layers)
        for zone, count in layout.count_by_zone.items():
            for index in range(count):
                first = starts[index % len(starts)]
                end = min(first + layout.layers, sample_engine.ENGINE.layers)
                number = len(found) + 1
                found.append(
                    sample_engine.target(
                        f't{number:02}',
                        layout.card,
                        zone,
                        targets.LayerRange(first, end),
                        f'10.0.0.{number}:8000',
                    )
                )
    return found
