"""A fleet of instances that choose paths, exchange news and meet failures.

It has no sockets: time is a manual timer's, datagrams are method calls that
may be lost, and a target fails a stream or lets it run for its whole time.
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
REPEAT_RATIO = 0.2
REPEAT_ALLOWANCE = 487.0
REPEAT_WINDOW_S = 10.0
# Time to a failure's answer, and to a first event.
FAILURE_S = 0.005
FIRST_EVENT_S = 0.08
DELIVERY_S = 0.002
STATUS_FAILED = 500


class Layout(NamedTuple):
    """Targets of one kind of card, in chains of equal parts."""

    card: str
    count_by_zone: dict[str, int]
    layers: int


# The model targets of wadi-watch-grown, each as full as leaves token memory.
LAYOUTS = (
    Layout('a100', {'a': 3, 'b': 2, 'c': 4}, 27),
    Layout('v100', {'a': 14, 'b': 24, 'c': 10}, 7),
    Layout('l4', {'a': 16, 'b': 9, 'c': 11}, 10),
)


class Result(NamedTuple):
    """What callers got in a stretch of time.

    :ivar asked: new requests.
    :ivar failed: those that failed, at the second try of the caller too.
    :ivar answers: failures that targets answered.
    """

    asked: int
    failed: int
    answers: int

    @property
    def lost_share(self) -> float:
        """Returns the share of requests that failed for good."""
        return self.failed / max(1, self.asked)


class _NoAnswerer(http_server.Answerer):
    """Callers are counted, not answered."""

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
    """One instance: its knowledge, its news and its choices."""

    def __init__(self, fleet: 'FailingFleet', name: str) -> None:
        timer, rng, book = fleet.timer, fleet.rng, fleet.book
        metric = fleet.metric
        self.name = name
        self.ledger = load_tracker.LoadTracker(timer)
        self.ledger.set_instances(fleet.size)
        down = down_targets.DownTargets(timer, rng)
        paces = slow_targets.SlowTargets(silent_orders.SilentOrders(), timer)
        self.reports = ejection_reports.EjectionReports(
            name, book, timer, metric, rng, self._tell_soon
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
            timer, REPEAT_RATIO, REPEAT_ALLOWANCE, REPEAT_WINDOW_S
        )
        self.budget.set_instances(fleet.size)
        self.news = gossip_handler.GossipHandler(
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
            rng.uniform(0.0, soft_exchange.SAMPLE_PERIOD_S), self._start
        )
        self._fleet = fleet

    def _start(self) -> None:
        self._fleet.timer.every(soft_exchange.SAMPLE_PERIOD_S, self._send)

    def _tell_soon(self) -> None:
        if self._fleet.tells:
            self.immediate.request_send()

    def _send(self) -> None:
        peers = list(self._fleet.member_by_name)
        count = min(soft_exchange.SAMPLE_SIZE, len(peers))
        self._fleet.deliver(self, self._fleet.rng.sample(peers, count))


class FailingFleet:
    """All instances, the targets that fail now, and what callers got.

    :ivar bad_ids: targets that fail the streams sent to them.
    :param is_blame_named: whether a failure names the target at fault.
    :param fails_inside: whether a target fails streams that begin elsewhere.
    :param max_attempts: of one request at one instance.
    :param tells: whether instances tell each other of ejected targets.
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
        self._arrive_later()

    def exclusions(
        self, member: _Member
    ) -> tuple[path_finder.SoftExclusion, ...]:
        """Returns the soft exclusions of an instance."""
        return (member.failing.ids,) if self._excludes else ()

    def deliver(self, sender: _Member, peers: list[str]) -> None:
        """Delivers news to instances, but for those that are lost."""
        news = sender.news.build_message()
        for name in peers:
            if name == sender.name or self.rng.random() < self._loss:
                continue
            taker = self.member_by_name[name]
            self.timer.after(
                DELIVERY_S, functools.partial(taker.news.handle_message, news)
            )

    def play(self, seconds: float) -> Result:
        """Plays a stretch of time; returns what its requests came to."""
        self._asked = self._failed = self._answers = 0
        self.timer.advance(seconds)
        return Result(self._asked, self._failed, self._answers)

    def _arrive_later(self) -> None:
        self.timer.after(
            self.rng.expovariate(self._streams_per_s), self._arrive
        )

    def _arrive(self) -> None:
        self._asked += 1
        self._ask(is_retry=False)
        self._arrive_later()

    def _ask(self, is_retry: bool) -> None:
        member = self.rng.choice(self._members)
        member.budget.note_request(sample_engine.SERVICE)
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
        lasts_s = pauses * choice.pause_ms / cost_model.MS_PER_S
        trial = member.failing.begin('r1', path, DEMAND.tokens, lasts_s)
        member.ledger.add(ids, DEMAND.tokens)
        at_fault = self._at_fault(path)
        if at_fault is None:
            self.timer.after(FIRST_EVENT_S, trial.note_event)
            self.timer.after(
                lasts_s, lambda: member.ledger.remove(ids, DEMAND.tokens)
            )
            return
        named = at_fault.address if self._is_blame_named else None

        def fail() -> None:
            member.ledger.remove(ids, DEMAND.tokens)
            self._answers += 1
            without = avoided | {
                trial.note_error_response(STATUS_FAILED, named)
            }
            may_repeat = send < self._max_attempts
            if may_repeat and member.budget.take(sample_engine.SERVICE):
                self._attempt(member, without, send + 1, is_retry)
            else:
                self._end_failed(is_retry)

        self.timer.after(FAILURE_S, fail)

    def _at_fault(self, path: cost_model.Path) -> targets.Target | None:
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
            answerer=_NoAnswerer(),
            route=self._route,
            service=self._service,
            organisation=None,
            ends_at=self.timer.now() + 20.0,
        )
        return member.finder.choose(exchange, DEMAND, avoided, 0.0)

    def _end_failed(self, is_retry: bool) -> None:
        """Lets the caller ask once more, at once and anywhere."""
        if is_retry:
            self._failed += 1
        else:
            self._ask(is_retry=True)


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
