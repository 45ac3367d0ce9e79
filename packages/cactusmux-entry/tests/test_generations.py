"""Tests of generations with failing stages: complete, once, in order."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import explain
from cactusmux_entry import generations
from cactusmux_entry import leaving_watch
from cactusmux_entry import problems
from cactusmux_entry import stall_watch
from cactusmux_entry import token_checker
from cactusmux_fakes import direct_targets
from cactusmux_fakes import engines
from cactusmux_fakes import layers
from cactusmux_platform import targets
from cactusmux_routing import baseline_choosers
from cactusmux_routing import breakers
from cactusmux_routing import choosers
from cactusmux_routing import policies
from cactusmux_routing import retries
from cactusmux_routing import routes
from cactusmux_routing import target_table
import pytest
from returns import result

MODEL_LAYERS = 8
RANGES = ((0, 3), (3, 6), (6, 8))
MAX_TOKENS = 24


class Rig:
    """Copies of a model on three engines each, with an entry."""

    def __init__(self, copies: int = 2) -> None:
        self.clock = timers.ManualTimers()
        self.metrics = metrics.MemoryMetrics()
        self.fabric = engines.Fabric(self.clock)
        self.client = direct_targets.DirectTargetClient(self.fabric)
        self.engines: list[engines.Engine] = []
        for copy in range(copies):
            for first, last in RANGES:
                address = f'10.0.{copy}.{first}:80'
                engine = engines.Engine(
                    self.fabric, address, engines.EngineConfig()
                )
                engine.hold(
                    targets.Holding('m', 'v1', first, last, ('a', 'b'))
                )
                self.engines.append(engine)
        rng = random.Random(7)
        self.chooser = policies.make_chooser(
            'least_loaded', self.clock, rng
        ).unwrap()
        self.update_table()
        self.services = generations.GenerationServices(
            timer=self.clock,
            metrics=self.metrics,
            targets=self.client,
            chooser=self.chooser,
            budget=retries.RetryBudget(self.clock),
            backoff=retries.Backoff(self.clock, rng),
            stalls=stall_watch.StallWatch(self.clock),
            leaving=leaving_watch.LeavingWatch(
                self.clock, self.metrics, lambda _: None, frozenset
            ),
            breakers=breakers.Breakers(
                self.clock, rng, self.metrics, lambda lost: True
            ),
            zone='z1',
            token_gap_s=0.3,
            first_token_s=1.0,
        )

    def update_table(self) -> None:
        reports = [
            target_table.AgedReport(engine.report(), 0.0)
            for engine in self.engines
        ]
        self.chooser.update(
            target_table.build_table(
                reports, [], frozenset(), self.clock.now(), 10.0
            )
        )

    def generation(
        self, request_id: str = 'r1', adapter: str = 'a'
    ) -> generations.Generation:
        request = generations.GenerationRequest(
            request_id=request_id,
            service='s',
            organisation='o',
            kind='draft',
            model='m',
            version='v1',
            adapter=adapter,
            layers=MODEL_LAYERS,
            prompt=f'prompt of {request_id}',
            max_tokens=MAX_TOKENS,
            priority=0,
            deadline_at=self.clock.now() + 60.0,
        )
        trace = explain.Trace(self.clock, request_id)
        return generations.Generation(self.services, request, trace)

    def used_stage(self, index: int) -> engines.Engine:
        """Returns the engine of a stage of the last opened route."""
        stage = self.client.opened[-1].stages[index]
        return self.fabric.engine_by_address[stage.address]

    def break_engine(self, engine: engines.Engine, fault: str) -> None:
        if fault == 'dead':
            engine.dead = True
        elif fault == 'frozen':
            engine.freeze()
        elif fault == 'unloaded':
            engine.hold()
        elif fault == 'cut':
            for other in self.engines:
                self.fabric.cut(other.address, engine.address)


def expected(request_id: str = 'r1', adapter: str = 'a') -> list[str]:
    return list(
        layers.expected_texts(
            'm',
            'v1',
            adapter,
            f'prompt of {request_id}',
            MODEL_LAYERS,
            MAX_TOKENS,
        )
    )


def test_generation_without_faults_is_complete() -> None:
    rig = Rig()
    assert list(rig.generation().texts()) == expected()
    assert rig.fabric.ledger.violations() == ()
    assert rig.fabric.ledger.emitted_tokens == MAX_TOKENS


@pytest.mark.parametrize('stage', [0, 1, 2])
@pytest.mark.parametrize('fault', ['dead', 'frozen', 'cut', 'unloaded'])
def test_generation_survives_a_failing_stage(stage: int, fault: str) -> None:
    rig = Rig()
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        if len(texts) == 10:
            rig.break_engine(rig.used_stage(stage), fault)
    assert texts == expected()
    assert rig.fabric.ledger.violations() == ()
    assert len(rig.client.opened) == 2
    assert all(engine.running == 0 for engine in rig.engines)


def test_generation_survives_two_successive_failures() -> None:
    rig = Rig(copies=3)
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        if len(texts) in (5, 15):
            rig.used_stage(1).dead = True
    assert texts == expected()
    assert rig.fabric.ledger.violations() == ()


def test_unexpected_tokens_are_dropped() -> None:
    rig = Rig()
    strange = [
        targets.Token('other', 1, 3, 'FOREIGN '),
        targets.Token('r1', 0, 3, 'OLD '),
        targets.Token('r1', 1, 1, 'REPEATED '),
    ]
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        if len(texts) == 3:
            rig.client.streams[-1].injected.extend(strange)
    assert texts == expected()
    dropped = rig.metrics.counter_by_name
    assert dropped['entry.dropped_token.foreign'] == 1
    assert dropped['entry.dropped_token.old_attempt'] == 1
    assert dropped['entry.dropped_token.repeated'] == 1


def test_missing_position_breaks_the_stream() -> None:
    rig = Rig()
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        if len(texts) == 3:
            late = targets.Token('r1', 1, 7, 'GAP ')
            rig.client.streams[-1].injected.append(late)
    assert texts == expected()
    assert rig.metrics.counter_by_name['entry.retries.stream_broken'] == 1


def test_interleaved_generations_are_not_mixed_up() -> None:
    rig = Rig()
    texts_by_id: dict[str, list[str]] = {'r1': [], 'r2': []}
    first = rig.generation('r1', 'a').texts()
    second = rig.generation('r2', 'b').texts()
    for one, other in zip(first, second, strict=True):
        texts_by_id['r1'].append(one)
        texts_by_id['r2'].append(other)
    assert texts_by_id['r1'] == expected('r1', 'a')
    assert texts_by_id['r2'] == expected('r2', 'b')


def test_refusal_without_any_run_has_outcome_not_run() -> None:
    rig = Rig(copies=1)
    for engine in rig.engines:
        engine.leaving = True
    with pytest.raises(problems.RequestFailed) as refused:
        list(rig.generation().texts())
    assert refused.value.problem.outcome is problems.Outcome.NOT_RUN
    assert 'r1' not in rig.fabric.ledger.run_request_ids()


def test_ejected_target_is_preferred_over_one_that_failed_this_request() -> (
    None
):
    rig = Rig()
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        if len(texts) == 5:
            failing = rig.used_stage(0)
            failing.dead = True
            other = next(
                engine
                for engine in rig.engines
                if engine.address != failing.address
                and engine.report().holdings == failing.report().holdings
            )
            rig.services.breakers.record_failure(other.address, certain=True)
    assert texts == expected()
    assert len(rig.client.opened) == 2


def test_stream_survives_seconds_without_a_route() -> None:
    rig = Rig(copies=1)
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        if len(texts) == 5:
            engine = rig.used_stage(1)
            engine.dead = True
            rig.clock.after(8.0, engine.revive)
    assert texts == expected()


def test_failure_after_a_token_has_unknown_outcome() -> None:
    rig = Rig(copies=1)
    texts = []
    with pytest.raises(problems.RequestFailed) as failed:
        for text in rig.generation().texts():
            texts.append(text)
            rig.used_stage(1).dead = True
    assert failed.value.problem.outcome is problems.Outcome.UNKNOWN
    assert texts == expected()[:1]


def test_caller_that_disconnects_cancels_the_stream() -> None:
    rig = Rig()
    stream = rig.generation().texts()
    next(stream)
    assert sum(engine.running for engine in rig.engines) == 1
    stream.close()  # type: ignore[attr-defined]
    assert sum(engine.running for engine in rig.engines) == 0
    assert rig.client.streams[-1].closed


def test_slow_caller_is_not_mistaken_for_a_stalled_engine() -> None:
    rig = Rig()
    texts = []
    for text in rig.generation().texts():
        texts.append(text)
        rig.clock.advance(1.0)
    assert texts == expected()
    assert rig.metrics.counter_by_name['entry.attempts'] == 1


def test_tokens_above_the_requested_count_are_rejected() -> None:
    checker = token_checker.TokenChecker('r1', 1, metrics.MemoryMetrics())
    checker.start_attempt(1)
    assert checker.accept(targets.Token('r1', 1, 0, 'one '), 'a:1')
    with pytest.raises(targets.StreamBroken):
        checker.accept(targets.Token('r1', 1, 1, 'two '), 'a:1')


class BreakingClient(direct_targets.DirectTargetClient):
    """Breaks the connection after it sent each request."""

    def open_stream(
        self, request: targets.RoutedRequest, accept_s: float
    ) -> result.Result[targets.TokenStream, targets.TargetError]:
        address = request.stages[0].address
        return result.Failure(targets.StreamBroken(address, 'cut'))


def test_connection_broken_after_sending_has_unknown_outcome() -> None:
    rig = Rig()
    rig.services = rig.services._replace(targets=BreakingClient(rig.fabric))
    with pytest.raises(problems.RequestFailed) as failed:
        list(rig.generation().texts())
    assert failed.value.problem.outcome is problems.Outcome.UNKNOWN


class GappingChooser(baseline_choosers.LeastLoadedChooser):
    """Omits the middle stage from each route."""

    def choose(
        self, request: choosers.RouteRequest
    ) -> result.Result[routes.Route, choosers.NoRoute]:
        chosen = super().choose(request).unwrap()
        first, _, last = chosen.stages
        return result.Success(chosen._replace(stages=(first, last)))


def test_route_with_missing_layers_is_never_used() -> None:
    rig = Rig()
    chooser = GappingChooser(rig.clock, random.Random(1))
    rig.chooser = chooser
    rig.update_table()
    rig.services = rig.services._replace(chooser=chooser)
    with pytest.raises(problems.RequestFailed) as refused:
        list(rig.generation().texts())
    assert refused.value.problem.reason == 'route_invalid'
    assert rig.client.opened == []


def test_failed_probe_ejects_a_target_again() -> None:
    rig = Rig(copies=1)
    engine = rig.engines[0]
    engine.dead = True
    rig.services.breakers.record_failure(engine.address, certain=True)
    rig.clock.advance(breakers.MAX_EJECTION_S)
    assert rig.services.breakers.ejected() == frozenset()
    with pytest.raises(problems.RequestFailed):
        list(rig.generation().texts())
    assert engine.address in rig.services.breakers.ejected()
