"""Simulates whether goodput recovers after half of the targets fail.

Requests arrive at a fixed rate from callers that retry when rejected.
Streams on one target share its capacity. A failed target breaks its
streams and refuses new ones at once.
"""

import collections
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_platform import targets
from cactusmux_routing import admission
from cactusmux_routing import breakers
from cactusmux_routing import choosers
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import policies
from cactusmux_routing import retries
from cactusmux_routing import routes
from cactusmux_routing import target_table
from cactusmux_routing import tickets

STEP_S = 0.1
TARGETS_PER_STAGE = 20
TARGET_TPS = 250.0
CAPACITY_TPS = TARGETS_PER_STAGE * TARGET_TPS
LOAD = 0.9
TOKENS = 50.0
STREAM_TPS = 25.0
DEADLINE_S = 8.0
FAILS_AT_S = 20.0
REPAIRED_AT_S = 30.0
REPORT_S = 1.0
NAIVE_RETRY_S = 0.1
CALLER_TRIES = 4
REQUEST = choosers.RouteRequest('m', 'v1', '', 8)


class _Call:
    __slots__ = ('ends_at', 'left', 'tries', 'attempt', 'ticket', 'route')

    def __init__(self, ends_at: float, tries: int) -> None:
        self.ends_at = ends_at
        self.left = TOKENS
        self.tries = tries
        self.attempt = 0
        self.ticket: tickets.Ticket | None = None
        self.route: routes.Route | None = None


class Outcome(NamedTuple):
    """Goodput by second, and the number of attempts at targets."""

    goodput_by_second: list[float]
    attempts: int

    def return_s(self) -> float:
        """Returns seconds from the repair until goodput stays recovered."""
        before = self.goodput_by_second[10 : int(FAILS_AT_S)]
        recovered = 0.95 * sum(before) / len(before)
        repaired = int(REPAIRED_AT_S)
        after = self.goodput_by_second[repaired:]
        smooth = [sum(after[i : i + 3]) / 3 for i in range(len(after) - 2)]
        low = [i for i, goodput in enumerate(smooth) if goodput < recovered]
        return float(low[-1] + 1) if low else 0.0


class StormModel:
    """One instance, either with all limits or without any."""

    def __init__(self, limited: bool, seed: int) -> None:
        self._limited = limited
        self._rng = random.Random(seed)
        self._clock = timers.ManualTimers(0.0)
        metric = metrics.MemoryMetrics()
        self._chooser = policies.make_chooser(
            'flow', self._clock, random.Random(seed)
        ).unwrap()
        self._breakers = breakers.Breakers(
            self._clock, random.Random(seed), metric, self._can_lose
        )
        self._budget = retries.RetryBudget(self._clock)
        self._backoff = retries.Backoff(self._clock, random.Random(seed))
        meter = demand.DemandMeter(self._clock)
        self._share = fair_share.FairShare(self._clock, meter)
        self._admission = admission.AdmissionController(
            self._clock, random.Random(seed), self._share, meter, metric
        )
        self._targets = [
            target_table.Target(
                f's{stage}-{i}', 'z', 'r', 'k',
                (targets.Holding('m', 'v1', 4 * stage, 4 * stage + 4),),
                TARGET_TPS, 0, 0, 0.0,
            )
            for stage in (0, 1)
            for i in range(TARGETS_PER_STAGE)
        ]  # fmt: skip
        self._failed: frozenset[str] = frozenset()
        self._running: list[_Call] = []
        self._done_by_second: collections.Counter[int] = collections.Counter()
        self._attempts = 0
        self._report()

    def run(self, seconds: float) -> Outcome:
        """Simulates normal load, the failure, the repair and recovery."""
        for step in range(round(seconds / STEP_S)):
            now = self._clock.now()
            failing = FAILS_AT_S <= now < REPAIRED_AT_S
            self._set_failed(failing)
            for _ in range(self._arrivals()):
                self._submit(CALLER_TRIES)
            self._serve()
            self._clock.advance(STEP_S)
            if step % round(REPORT_S / STEP_S) == 0:
                self._report()
        goodput = [self._done_by_second[s] for s in range(int(seconds))]
        return Outcome([float(x) for x in goodput], self._attempts)

    def _arrivals(self) -> int:
        expected = LOAD * CAPACITY_TPS / TOKENS * STEP_S
        return int(expected) + (self._rng.random() < expected % 1)

    def _can_lose(self, lost: frozenset[str]) -> bool:
        return self._chooser.has_routes_without(
            lost, breakers.MAX_EJECTED_FRACTION
        )

    def _set_failed(self, failing: bool) -> None:
        half = (t.address for t in self._targets[::2])
        failed = frozenset(half) if failing else frozenset()
        if failed == self._failed:
            return
        self._failed = failed
        for call in list(self._running):
            if call.route and self._find_failed_stage(call.route):
                self._running.remove(call)
                self._fail(call)

    def _submit(self, tries: int) -> None:
        call = _Call(self._clock.now() + DEADLINE_S, tries)
        if not self._limited:
            self._attempt(call)
            return
        self._budget.record_first_attempt('s', 'o')
        request = tickets.RequestClass(
            's', 'o', 'k', 'm', 1.0, TOKENS, retries.Deadline(call.ends_at)
        )

        def take(answer: admission.Decision) -> None:
            call.ticket = answer.value_or(None)
            if call.ticket is not None:
                self._attempt(call)
                return
            self._schedule_retry(call, answer.failure().retry_after_s)

        self._admission.submit(request, take)

    def _schedule_retry(self, call: _Call, after_s: float) -> None:
        if call.tries > 1:
            tries = call.tries - 1
            self._clock.after(after_s, lambda: self._submit(tries))

    def _attempt(self, call: _Call) -> None:
        if self._clock.now() >= call.ends_at:
            self._give_up(call)
            return
        ejected = self._breakers.ejected() if self._limited else frozenset()
        route = self._chooser.choose(
            REQUEST._replace(ejected=ejected)
        ).unwrap()
        self._attempts += 1
        call.attempt += 1
        call.route = route
        for stage in route.stages:
            self._breakers.record_started(stage.address)
        self._chooser.record_started(route)
        if self._find_failed_stage(route):
            self._fail(call)
        else:
            self._running.append(call)

    def _fail(self, call: _Call) -> None:
        assert call.route is not None
        self._chooser.record_finished(call.route)
        dead = self._find_failed_stage(call.route)
        for stage in call.route.stages:
            if stage.address == dead:
                self._breakers.record_failure(dead, certain=True)
            else:
                self._breakers.record_abandoned(stage.address)
        if not self._limited:
            self._clock.after(NAIVE_RETRY_S, lambda: self._attempt(call))
            return
        has_progress = call.left < TOKENS
        if not has_progress and isinstance(
            self._budget.spend('s', 'o').swap().value_or(None), Exception
        ):
            self._give_up(call)
            return
        delay = self._backoff.delay_s(
            call.attempt, retries.Deadline(call.ends_at)
        )
        if isinstance(delay.swap().value_or(None), Exception):
            self._give_up(call)
            return
        self._clock.after(delay.unwrap(), lambda: self._attempt(call))

    def _give_up(self, call: _Call) -> None:
        if call.ticket is not None:
            self._admission.release(call.ticket, TOKENS - call.left)
        self._schedule_retry(call, self._rng.uniform(0.5, 1.5))

    def _find_failed_stage(self, route: routes.Route) -> str:
        dead = [s for s in route.stages if s.address in self._failed]
        return dead[0].address if dead else ''

    def _serve(self) -> None:
        count: collections.Counter[str] = collections.Counter()
        for call in self._running:
            assert call.route is not None
            count.update(stage.address for stage in call.route.stages)
        for call in list(self._running):
            assert call.route is not None
            busiest = max(count[s.address] for s in call.route.stages)
            if call.left == TOKENS:
                # The first token shows that the whole route works.
                for stage in call.route.stages:
                    self._breakers.record_success(stage.address)
            call.left -= min(STREAM_TPS, TARGET_TPS / busiest) * STEP_S
            if call.left <= 0:
                self._end(call)
            elif self._clock.now() > call.ends_at:
                self._running.remove(call)
                self._chooser.record_finished(call.route)
                self._give_up(call)

    def _end(self, call: _Call) -> None:
        assert call.route is not None
        self._running.remove(call)
        self._chooser.record_finished(call.route)
        if call.ticket is not None:
            self._admission.release(call.ticket, TOKENS)
        if self._clock.now() <= call.ends_at:
            self._done_by_second[int(self._clock.now())] += 1

    def _report(self) -> None:
        now = self._clock.now()
        count: collections.Counter[str] = collections.Counter()
        for call in self._running:
            assert call.route is not None
            count.update(stage.address for stage in call.route.stages)
        for target in self._targets:
            # A failed target sends no report, so its last one remains.
            if target.address not in self._failed:
                self._chooser.update_target(
                    target._replace(
                        running=count[target.address], taken_at=now
                    )
                )
        lost = self._failed | self._breakers.ejected()
        alive = 1.0 - len(lost) / len(self._targets)
        policy = fair_share.ServicePolicy(documents.Pool(1.0), {'o': 1.0})
        self._share.set_pool(CAPACITY_TPS * alive, {'s': policy})
