"""State machine test of the replacement of lost stages.

It runs random sequences of losses, responses, events and ends of streams with
a manual timer.
"""

import itertools
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import silent_orders
from cactusmux_relay import attempt_load
from cactusmux_relay import attempt_replacements
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import http_server
from cactusmux_relay import layer_orders
from cactusmux_relay import live_streams
from cactusmux_relay import load_tracker
from cactusmux_relay import path_choice
from cactusmux_relay import path_finder
from cactusmux_relay import slow_targets
from cactusmux_relay import stage_replacer
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import gevent
from gevent import event
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns import result

ENGINE = sample_engine.ENGINE._replace(layer_mb=100.0)
LAYER_RANGES = ((0, 30), (30, 60), (60, 80))
NAMES = [f'{column}{row}' for row in range(4) for column in range(3)]
DEMAND = path_choice.Demand(800.0, 200.0, 0.25)
OUTCOMES = ['done', 'missing', 'unknown', 'refused', 'silent', 'not sent']


def _target(name):
    layers = targets.LayerRange(*LAYER_RANGES[int(name[0])])
    address = f'127.0.0.1:{20000 + NAMES.index(name)}'
    return sample_engine.target(name, 'a100', 'a', layers, address)


class _NoProbes(down_targets.DownTargets):
    def probe(self, target):
        pass


class _Call:
    is_cut = False

    def abort(self):
        self.is_cut = True

    def has_unread(self):
        return False


class _Orders(silent_orders.SilentOrders):
    """Blocks each order until the test answers it."""

    def __init__(self):
        self.waiting = []

    def change_path(self, first, request_id, path):
        answer = event.AsyncResult()
        self.waiting.append((answer, first, path))
        return answer.get()


class _Stream:
    """One attempt and the objects that serve it."""

    def __init__(self, machine, row):
        self.avoided = set()
        self.noted = attempt_load.AttemptLoad(machine.ledger, DEMAND.tokens)
        replacements = attempt_replacements.AttemptReplacements(
            machine.replacer,
            machine.exchange(),
            DEMAND,
            self.noted,
            lambda: 0,
            self.avoided.add,
            lambda: self.avoided,
        )
        path = tuple(
            cost_model.Stage(_target(f'{column}{row}'), _layers(column))
            for column in range(3)
        )
        self.live = live_streams.LiveStream(
            path,
            40.0,
            machine.timer.now(),
            lambda: machine.may_resume,
            replacements.replace_lost,
        )
        self.live.call = _Call()
        self.noted.set_targets(self.live.target_ids)


def _layers(column):
    return targets.LayerRange(*LAYER_RANGES[column])


class ReplacementMachine(stateful.RuleBasedStateMachine):
    """Streams of one instance on four chains of three targets each."""

    def __init__(self):
        super().__init__()
        self.timer = timers.ManualTimers()
        rng = random.Random(1)
        metric = metrics.MemoryMetrics()
        self.may_resume = False
        self.streams = []
        self.state = relay_rig.make_desired_state()
        service = self.state.service_by_name[sample_engine.SERVICE]
        self.service = service._replace(engine=ENGINE)
        self.registry = target_registry.TargetRegistry()
        self.registry.replace(
            [_target(name) for name in NAMES],
            {sample_engine.SERVICE: self.service},
        )
        self.ledger = load_tracker.LoadTracker(self.timer)
        self.down = _NoProbes(self.timer, rng)
        self.live = live_streams.LiveStreams(
            self.timer, self.down, lambda each: None, lambda each: None
        )
        self.orders = _Orders()
        backoff = backoffs.Backoffs(self.registry, self.timer, metric)
        paces = slow_targets.SlowTargets(self.orders, self.timer)
        finder = path_finder.PathFinder(
            self.registry,
            self.ledger,
            self.down,
            paces,
            self.timer,
            metric,
            backoff,
            rng,
        )
        self.replacer = stage_replacer.StageReplacer(
            stage_replacer.ReplacerDependencies(
                finder=finder,
                book=self.registry,
                ledger=self.ledger,
                paces=paces,
                orders=self.orders,
                down=self.down,
                live=self.live,
                timer=self.timer,
                metric=metric,
                rng=rng,
            )
        )
        self.live.start()

    def exchange(self):
        facts = dialect.RequestFacts(
            'r1', 'h', None, None, '', 800.0, 200.0, None, None, []
        )
        request = http_server.Request('POST', '/', (), b'', self.timer.now())
        return context.Exchange(
            request=request,
            facts=facts,
            answerer=http_server.Answerer,
            route=self.state.routes[0],
            service=self.service,
            organisation=None,
            ends_at=self.timer.now() + 20.0,
        )

    @stateful.rule(row=strategies.integers(0, 3))
    def stream_begins(self, row):
        stream = _Stream(self, row)
        self.streams.append(stream)
        self.live.add(stream.live)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def target_goes_down(self, name):
        self.down.mark(_target(name), 'test')
        gevent.sleep(0)

    @stateful.rule(name=strategies.sampled_from(NAMES))
    def target_comes_back(self, name):
        self.down._mark_up(name, 'test')

    @stateful.rule(seconds=strategies.floats(0.0, 0.4))
    def time_passes(self, seconds):
        self.timer.advance(seconds)
        gevent.sleep(0)

    @stateful.rule(may_resume=strategies.booleans())
    def resumability_changes(self, may_resume):
        self.may_resume = may_resume

    @stateful.precondition(lambda self: self.streams)
    @stateful.rule(data=strategies.data())
    def event_arrives(self, data):
        stream = data.draw(strategies.sampled_from(self.streams))
        stream.live.record_event(self.timer.now())

    @stateful.precondition(lambda self: self.orders.waiting)
    @stateful.rule(
        data=strategies.data(), outcome=strategies.sampled_from(OUTCOMES)
    )
    def order_is_answered(self, data, outcome):
        place = data.draw(strategies.integers(0, len(self.orders.waiting) - 1))
        answer, first, path = self.orders.waiting.pop(place)
        named = data.draw(strategies.sampled_from(path)).target.address
        answer.set(_answer(outcome, first.id, named))
        gevent.sleep(0)
        gevent.sleep(0)

    @stateful.precondition(lambda self: self.streams)
    @stateful.rule(data=strategies.data())
    def stream_ends(self, data):
        stream = data.draw(strategies.sampled_from(self.streams))
        self._end(stream)

    def _end(self, stream):
        self.streams.remove(stream)
        self.live.remove(stream.live)
        stream.noted.end()

    @stateful.invariant()
    def path_runs_each_layer_once_from_the_same_target(self):
        for stream in self.streams:
            live = stream.live
            assert [stage.layers.first for stage in live.path] == [
                0,
                *(stage.layers.end for stage in live.path[:-1]),
            ]
            assert live.path[-1].layers.end == ENGINE.layers
            assert len(set(live.target_ids)) == len(live.target_ids)

    @stateful.invariant()
    def load_is_recorded_for_the_path(self):
        """The load of an ordered path counts until the order has failed."""
        expected = dict.fromkeys(NAMES, 0)
        for stream in self.streams:
            in_path = set(stream.live.target_ids)
            assert stream.noted.ids >= in_path
            if not stream.live.is_replacing and not stream.avoided:
                assert stream.noted.ids == in_path
            for target_id in stream.noted.ids:
                expected[target_id] += 1
        noted = self.ledger.own_loads().requests_by_target
        assert noted == {
            target_id: count for target_id, count in expected.items() if count
        }

    @stateful.invariant()
    def stream_is_cut_only_if_it_may_resume_and_has_no_order(self):
        for stream in self.streams:
            if stream.live.call.is_cut:
                assert stream.live.was_interrupted
                assert not stream.live.is_replacing

    def teardown(self):
        for stream in list(self.streams):
            self._end(stream)
        for answer, first, _ in self.orders.waiting:
            answer.set(_answer('done', first.id, ''))
        for _ in range(3):
            gevent.sleep(0)
        assert self.ledger.own_loads().requests_by_target == {}


def _answer(outcome, first_id, named):
    failure_by_outcome = {
        'missing': layer_orders.PartNotThere(first_id, named),
        'unknown': layer_orders.RequestUnknown(first_id, 'r1'),
        'refused': layer_orders.OrderRefused(first_id, 421),
        'silent': layer_orders.OrderUnanswered(first_id),
        'not sent': layer_orders.OrderNotSent(first_id),
    }
    if outcome == 'done':
        return result.Success(None)
    return result.Failure(failure_by_outcome[outcome])


def _lose_second(machine, spares):
    """Starts a stream that loses its second target.

    :param spares: names of the only targets that could replace it.
    """
    machine.registry.replace(
        [_target(name) for name in ('00', '10', '20', *spares)],
        {sample_engine.SERVICE: machine.service},
    )
    machine.stream_begins(0)
    machine.down.mark(_target('10'), 'test')
    return machine.streams[0]


def _answer_next(machine, outcome):
    answer, first, _ = machine.orders.waiting.pop(0)
    answer.set(_answer(outcome, first.id, ''))
    for _ in range(3):
        gevent.sleep(0)


def test_no_order_is_sent_for_an_ended_attempt():
    """The attempt may end before the task that sends the order runs."""
    machine = ReplacementMachine()
    stream = _lose_second(machine, ['11'])
    assert stream.live.is_replacing
    machine._end(stream)
    for _ in range(3):
        gevent.sleep(0)
    assert machine.orders.waiting == []
    assert not stream.live.is_replacing
    assert machine.ledger.own_loads().requests_by_target == {}


def test_avoided_targets_are_not_used_as_replacement():
    """A target that failed a request was chosen for it again."""
    machine = ReplacementMachine()
    machine.stream_begins(0)
    stream = machine.streams[0]
    stream.avoided.update(('11', '12'))
    machine.down.mark(_target('10'), 'test')
    gevent.sleep(0)
    (order,) = machine.orders.waiting
    assert [stage.target.id for stage in order[2]] == ['00', '13', '20']


def test_failed_search_is_repeated_with_increasing_intervals():
    """Searches take 1.5 ms per stream, so they are repeated with backoff."""
    machine = ReplacementMachine()
    searched_at = []
    find = machine.replacer.find

    def recorded_find(*args):
        searched_at.append(machine.timer.now())
        return find(*args)

    machine.replacer.find = recorded_find
    _lose_second(machine, [])
    machine.timer.advance(5.0)
    pauses = [later - at for at, later in itertools.pairwise(searched_at[:6])]
    longest_s = attempt_replacements.MAX_SEARCH_PAUSE_S
    for pause_s, least_s in zip(
        pauses, [0.2, 0.4, longest_s, longest_s, longest_s], strict=True
    ):
        assert least_s - 0.001 <= pause_s < least_s + 0.1


def test_path_is_reviewed_after_a_later_order_failed():
    """A stream that stayed silent after a second order was never resumed."""
    machine = ReplacementMachine()
    stream = _lose_second(machine, ['11', '21'])
    gevent.sleep(0)
    _answer_next(machine, 'done')
    assert stream.live.target_ids == ('00', '11', '20')
    machine.timer.advance(0.1)
    machine.down.mark(_target('20'), 'test')
    gevent.sleep(0)
    assert stream.live.is_replacing
    machine.timer.advance(attempt_replacements.TRIAL_S)
    machine.down._mark_up('20', 'test')
    _answer_next(machine, 'refused')
    machine.may_resume = True
    machine.timer.advance(1.0)
    assert stream.live.call.is_cut


TestReplacementMachine = ReplacementMachine.TestCase
TestReplacementMachine.settings = hypothesis.settings(
    deadline=None, max_examples=60, stateful_step_count=40
)
