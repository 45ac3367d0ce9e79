"""Any order of losses, answers, events and ends, by the fake timer."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import silent_orders
from cactusmux_relay import attempt_replacements
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import http_server
from cactusmux_relay import layer_orders
from cactusmux_relay import live_streams
from cactusmux_relay import load_ledger
from cactusmux_relay import noted_load
from cactusmux_relay import pace_book
from cactusmux_relay import path_choice
from cactusmux_relay import path_finder
from cactusmux_relay import stage_replacer
from cactusmux_relay import target_book
from cactusmux_relay import targets
import gevent
from gevent import event
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from returns import result

ENGINE = sample_engine.ENGINE._replace(layer_mb=100.0)
EDGES = ((0, 30), (30, 60), (60, 80))
NAMES = [f'{column}{row}' for row in range(4) for column in range(3)]
DEMAND = path_choice.Demand(800.0, 200.0, 0.25)
OUTCOMES = ['done', 'missing', 'unknown', 'refused', 'silent', 'not sent']


def _target(name):
    layers = targets.LayerRange(*EDGES[int(name[0])])
    address = f'127.0.0.1:{20000 + NAMES.index(name)}'
    return sample_engine.target(name, 'a100', 'a', layers, address)


class _NoProbes(down_targets.DownTargets):
    def probe(self, target):
        pass


class _Call:
    is_cut = False

    def cut(self):
        self.is_cut = True

    def has_unread(self):
        return False


class _Orders(silent_orders.SilentOrders):
    """Each order waits for its answer."""

    def __init__(self):
        self.waiting = []

    def change_path(self, first, request_id, path):
        answer = event.AsyncResult()
        self.waiting.append((answer, first, path))
        return answer.get()


class _Stream:
    """One attempt, with the parts that serve it."""

    def __init__(self, machine, row):
        self.avoided = set()
        self.noted = noted_load.NotedLoad(machine.ledger, DEMAND.tokens)
        replacements = attempt_replacements.AttemptReplacements(
            machine.replacer,
            machine.exchange(),
            DEMAND,
            self.noted,
            lambda: None,
            self.avoided.add,
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
        self.noted.move(self.live.target_ids)


def _layers(column):
    return targets.LayerRange(*EDGES[column])


class ReplacementMachine(stateful.RuleBasedStateMachine):
    """Streams of one instance over four chains of three targets."""

    def __init__(self):
        super().__init__()
        self.timer = timers.ManualTimers()
        rng = random.Random(1)
        metric = metrics.MemoryMetrics()
        self.may_resume = False
        self.streams = []
        self.state = relay_rig.desired_state()
        service = self.state.service_by_name[sample_engine.SERVICE]
        self.service = service._replace(engine=ENGINE)
        self.book = target_book.TargetBook()
        self.book.replace(
            [_target(name) for name in NAMES],
            {sample_engine.SERVICE: self.service},
        )
        self.ledger = load_ledger.LoadLedger(self.timer)
        self.down = _NoProbes(self.timer, rng)
        self.live = live_streams.LiveStreams(
            self.timer, self.down, lambda each: None, lambda each: None
        )
        self.orders = _Orders()
        held = backoffs.Backoffs(self.book, self.timer, metric)
        paces = pace_book.PaceBook(self.orders, self.timer)
        finder = path_finder.PathFinder(
            self.book,
            self.ledger,
            self.down,
            paces,
            self.timer,
            metric,
            held,
            rng,
        )
        self.replacer = stage_replacer.StageReplacer(
            stage_replacer.ReplacerParts(
                finder=finder,
                book=self.book,
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
    def ways_on_change(self, may_resume):
        self.may_resume = may_resume

    @stateful.precondition(lambda self: self.streams)
    @stateful.rule(data=strategies.data())
    def event_arrives(self, data):
        stream = data.draw(strategies.sampled_from(self.streams))
        stream.live.note_event(self.timer.now())

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
    def load_is_noted_for_the_path(self):
        """And for a path that was ordered, until it is known not to come."""
        expected = dict.fromkeys(NAMES, 0)
        for stream in self.streams:
            in_path = set(stream.live.target_ids)
            assert stream.noted.ids >= in_path
            if not stream.live.is_replacing and not stream.avoided:
                assert stream.noted.ids == in_path
            for target_id in stream.noted.ids:
                expected[target_id] += 1
        noted = self.ledger.own().requests_by_target
        assert noted == {
            target_id: count for target_id, count in expected.items() if count
        }

    @stateful.invariant()
    def stream_is_cut_only_with_a_way_on_and_without_an_order(self):
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
        assert self.ledger.own().requests_by_target == {}


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


TestReplacementMachine = ReplacementMachine.TestCase
TestReplacementMachine.settings = hypothesis.settings(
    deadline=None, max_examples=60, stateful_step_count=40
)
