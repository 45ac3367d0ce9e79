"""Replacement of lost stages, between a caller and scripted targets."""

import functools
import itertools
import time

from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_fakes import silent_orders
from cactusmux_relay import attempt_replacements
from cactusmux_relay import layer_orders
from cactusmux_relay import targets
import gevent
from gevent import event
import pytest
from returns import result

HEAD = scripted_target.stream_head({'Signature': 's'})
EVENTS = [scripted_target.event(number) for number in range(1, 13)]
PAUSE_S = 0.03
LOST_AFTER = 4
# Above what callers allow: the machine that runs the tests may be busy.
LONGEST_PAUSE_S = 0.25
DONE = result.Success(None)


class _Orders(silent_orders.SilentOrders):
    """Returns results in turn; carries out the orders that it accepts.

    :ivar wanted: number of accepted orders that are carried out together.
    :ivar needed: id of the target that the path of an order must include for
        it to be carried out.
    """

    def __init__(self):
        self.answers = []
        self.received = []
        self.carried_out = event.Event()
        self.delay_s = 0.0
        self.wanted = 1
        self.needed = 'first'

    def change_path(self, first, request_id, path):
        self.received.append((first.id, request_id, path))
        gevent.sleep(self.delay_s)
        answer = self.answers.pop(0) if self.answers else DONE
        if isinstance(answer, result.Success) and self.needed in _ids(path):
            self.wanted -= 1
            if not self.wanted:
                self.carried_out.set()
        return answer


class _World:
    """A path of two stages; the target of the second one goes down."""

    def __init__(self):
        self.orders = _Orders()
        self.rig = relay_rig.RelayRig(self.orders)
        self.retries = _record_retries(self.rig.budget)
        self.first = scripted_target.ScriptedTarget(self._write)
        self.lost = _idle_target()
        self.spares = [_idle_target() for _ in range(3)]
        self.whole = scripted_target.ScriptedTarget(self._write_rest)
        self.lost_after = LOST_AFTER
        self.begun = 0
        self.wanted = 1
        self.is_silent_after = False
        self.use_path()

    def use_path(self, *more):
        self.rig.use_stages(
            _stage('first', 0, 40, self.first),
            _stage('lost', 40, 80, self.lost),
            *more,
        )

    def use_spares(self, *names):
        """Adds targets that hold the lost layers."""
        self.use_path(
            *(
                _stage(name, 40, 80, self.spares[index])
                for index, name in enumerate(names)
            )
        )

    def use_whole(self, *names):
        """Likewise, and one with all layers, to resume a stream on."""
        self.use_path(
            _stage('whole', 0, 80, self.whole, 'slow_whole'),
            *(
                _stage(name, 40, 80, self.spares[index])
                for index, name in enumerate(names)
            ),
        )

    def _write(self, sock, request):
        if 'last-event' in request.value_by_header:
            return self._write_rest(sock, request)
        sent = 0
        if self.lost_after:
            sock.sendall(HEAD)
        for each in EVENTS[: self.lost_after]:
            sock.sendall(scripted_target.chunk(each))
            gevent.sleep(PAUSE_S)
            sent += 1
        self.begun += 1
        while self.begun < self.wanted:
            gevent.sleep(0.001)
        self.lost.stop()
        if not self.orders.carried_out.wait(5.0) or self.is_silent_after:
            gevent.sleep(5.0)
            return False
        if not sent:
            sock.sendall(HEAD)
        for each in EVENTS[sent:]:
            sock.sendall(scripted_target.chunk(each))
            gevent.sleep(PAUSE_S)
        sock.sendall(scripted_target.chunk(b''))
        return False

    def _write_rest(self, sock, request):
        after = int(request.value_by_header.get('last-event', 0))
        rest = b''.join(scripted_target.chunk(each) for each in EVENTS[after:])
        sock.sendall(HEAD + rest + scripted_target.chunk(b''))
        return False

    @property
    def resumed(self):
        """Requests that came after the first one."""
        return self.first.received[1:] + self.whole.received

    def ask(self, path='/stream/', **fields):
        """Returns the events received, and the longest pause between them."""
        sock = self.rig.connect()
        sock.sendall(relay_rig.request(path, prompt='800', **fields))
        received, came_at = b'', []
        while data := sock.recv(65536):
            received += data
            came_at.append(time.monotonic())
        sock.close()
        pauses = [later - at for at, later in itertools.pairwise(came_at)]
        return received, max(pauses, default=0.0)

    def counted(self, name):
        """Returns a counter of the relay."""
        return self.rig.metric.counter_by_name[f'relay.{name}']

    def end(self):
        """Stops the server and all targets."""
        self.rig.server.stop()
        for each in (self.first, self.lost, self.whole, *self.spares):
            each.stop()


def _idle_target():
    return scripted_target.ScriptedTarget(lambda sock, request: False)


def _stage(name, first, end, target, card='whole'):
    layers = targets.LayerRange(first, end)
    return sample_engine.target(name, card, 'a', layers, target.address)


def _record_retries(budget):
    retries = []
    take = budget.take

    def recording_take(service):
        is_taken = take(service)
        retries.append(is_taken)
        return is_taken

    budget.take = recording_take
    return retries


def _ids(path):
    return [stage.target.id for stage in path]


def _is_complete(received):
    body = b''.join(scripted_target.chunk(each) for each in EVENTS)
    return _unchunked(received) == _unchunked(
        b'\r\n\r\n' + body + b'0\r\n\r\n'
    )


def _unchunked(received):
    """Returns the events and whether the response is complete."""
    body = received.partition(b'\r\n\r\n')[2]
    data = b''
    while body:
        size, _, rest = body.partition(b'\r\n')
        length = int(size, 16)
        if not length:
            return data, True
        data += rest[:length]
        body = rest[length + 2 :]
    return data, False


@pytest.fixture(name='world')
def _world():
    world = _World()
    yield world
    world.end()


@pytest.fixture(name='lose')
def _lose(world):
    """Requests a stream; adds the replacements once it runs."""

    def lose(use, path='/stream/', **fields):
        asked = gevent.spawn(world.ask, path, **fields)
        while not world.first.received:
            gevent.sleep(0.001)
        use()
        return asked.get(timeout=10.0)

    return lose


def test_stream_continues_in_time_without_a_second_run(world, lose):
    received, longest_s = lose(lambda: world.use_spares('n'))
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S
    assert len(world.first.received) == 1
    assert world.retries == []
    ((first, request_id, path),) = world.orders.received
    assert (first, request_id, _ids(path)) == ('first', 'r1', ['first', 'n'])
    assert world.counted('stage_replaced') == 1


def test_load_follows_the_changed_path_and_ends_with_the_stream(world, lose):
    loads = []

    def watch():
        loads.append(dict(world.rig.ledger.own_loads().tokens_by_target))

    def use():
        world.use_spares('n')
        gevent.spawn_later(PAUSE_S * (LOST_AFTER + 8), watch)

    received, _ = lose(use)
    assert _is_complete(received)
    assert loads[0].keys() == {'first', 'n'}
    assert world.rig.ledger.own_loads().tokens_by_target == {}


def test_request_without_a_first_event_is_replaced_too(world, lose):
    world.lost_after = 0
    received, _ = lose(lambda: world.use_spares('n'))
    assert _is_complete(received)
    assert len(world.first.received) == 1
    assert world.retries == []


def test_stream_that_may_not_be_resumed_is_replaced_too(world, lose):
    """A replacement isn't a second run."""
    received, longest_s = lose(lambda: world.use_spares('n'), '/once/')
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S


def test_order_is_resent_without_a_target_that_lacks_its_layers(world, lose):
    missing = world.spares[0].address
    world.orders.answers = [
        result.Failure(layer_orders.PartNotThere('first', missing))
    ]
    received, longest_s = lose(lambda: world.use_spares('n', 'm'))
    chosen = [_ids(path) for _, _, path in world.orders.received]
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S
    assert chosen == [['first', 'n'], ['first', 'm']] or chosen == [
        ['first', 'm'],
        ['first', 'n'],
    ]


FAILURES = [
    layer_orders.RequestUnknown('first', 'r1'),
    layer_orders.OrderUnanswered('first'),
    layer_orders.OrderRefused('first', 421),
    layer_orders.OrderNotSent('first'),
    layer_orders.PartNotThere('first', ''),
]


@pytest.mark.parametrize('failure', FAILURES, ids=lambda each: each.reason)
def test_stream_is_resumed_elsewhere_when_the_order_fails(
    world, lose, failure
):
    world.orders.answers = [result.Failure(failure)] * 9
    world.is_silent_after = True
    received, longest_s = lose(lambda: world.use_whole('n'))
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S
    (resumed,) = world.resumed
    assert resumed.value_by_header['last-event'] == '4'
    if isinstance(failure, layer_orders.OrderUnanswered):
        # An order that comes late would still apply at the first target.
        assert world.whole.received == [resumed]
    assert world.retries == [True]
    assert world.counted(f'stage_not_replaced.{failure.reason}') == 1
    assert world.rig.ledger.own_loads().tokens_by_target == {}


def test_no_third_order_is_sent_when_layers_are_missing_twice(world, lose):
    failures = [
        result.Failure(layer_orders.PartNotThere('first', each.address))
        for each in world.spares
    ]
    world.orders.answers = failures
    received, _ = lose(lambda: world.use_whole('n', 'm', 'k'))
    assert _is_complete(received)
    assert len(world.orders.received) == 2
    assert len(world.resumed) == 1


def test_stream_that_stays_silent_is_resumed_elsewhere(world, lose):
    world.is_silent_after = True
    received, longest_s = lose(lambda: world.use_whole('n'))
    assert _is_complete(received)
    assert longest_s < attempt_replacements.TRIAL_S + LONGEST_PAUSE_S
    assert len(world.resumed) == 1
    assert world.counted('stage_not_replaced.silent') == 1


def test_request_without_an_event_has_until_its_objective(world, lose):
    """Its prompt is queued behind others that are prefilled after a loss."""
    world.lost_after = 0
    world.orders.needed = 'never'
    gevent.spawn_later(0.42, world.orders.carried_out.set)
    received, _ = lose(lambda: world.use_whole('n'))
    assert _is_complete(received)
    assert world.resumed == []


def test_number_of_failed_orders_is_limited(world):
    """Orders for a stream that can't be resumed were sent until it ended."""
    failure = result.Failure(layer_orders.OrderRefused('first', 500))
    world.orders.answers = [failure] * 99
    asked = gevent.spawn(world.ask, '/once/')
    while not world.first.received:
        gevent.sleep(0.001)
    world.use_spares('n')
    gevent.spawn_later(1.5, world.orders.carried_out.set)
    received, _ = asked.get(timeout=10.0)
    assert _is_complete(received)
    assert len(world.orders.received) == attempt_replacements.MAX_FAILED_ORDERS


def test_stages_that_are_lost_together_are_all_replaced(world, lose):
    """The second loss may be noticed only after the first order is sent."""
    world.orders.needed = 'm'
    other = world.spares[0]
    lost = (
        _stage('first', 0, 40, world.first),
        _stage('lost', 40, 60, world.lost),
        _stage('other', 60, 80, other),
    )
    world.rig.use_stages(*lost)
    stop = world.lost.stop

    def stop_both():
        stop()
        other.stop()

    world.lost.stop = stop_both

    def use():
        world.rig.use_stages(
            *lost,
            _stage('n', 40, 60, world.spares[1]),
            _stage('m', 60, 80, world.spares[2]),
        )

    received, longest_s = lose(use)
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S
    assert _ids(world.orders.received[-1][2]) == ['first', 'n', 'm']
    assert world.resumed == []


def test_stream_without_a_replacement_is_resumed_elsewhere(world, lose):
    """The first target now holds all layers, but is already in the path."""

    def use():
        world.rig.use_stages(_stage('first', 0, 80, world.first))

    received, longest_s = lose(use)
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S
    assert world.orders.received == []
    assert len(world.resumed) == 1
    assert world.counted('stage_not_replaced.no_replacement') == 1


def test_response_is_not_aborted_without_an_alternative(world):
    """The order is refused; the stream continues later without one."""
    world.orders.answers = [
        result.Failure(layer_orders.RequestUnknown('first', 'r1'))
    ] * 99
    asked = gevent.spawn(world.ask, '/once/')
    while not world.first.received:
        gevent.sleep(0.001)
    world.use_spares('n')
    gevent.spawn_later(0.8, world.orders.carried_out.set)
    received, _ = asked.get(timeout=10.0)
    assert _is_complete(received)
    assert len(world.first.received) == 1


def test_replacement_that_is_down_as_well_is_replaced_again(world, lose):
    """Targets often fail together; the second isn't known to be down yet."""
    world.spares[0].stop()
    world.orders.needed = 'm'

    def use():
        world.use_path(
            _stage('n', 40, 80, world.spares[0]),
            _stage('m', 40, 80, world.spares[1], 'slow_whole'),
        )

    received, longest_s = lose(use)
    chosen = [_ids(path) for _, _, path in world.orders.received]
    assert _is_complete(received)
    assert longest_s < LONGEST_PAUSE_S
    assert chosen == [['first', 'n'], ['first', 'm']]


def test_streams_that_lose_a_stage_together_are_spread(world):
    """Each replacement counts as load before the next one is chosen."""
    world.wanted = world.orders.wanted = 12
    asked = [gevent.spawn(world.ask) for _ in range(world.wanted)]
    while len(world.first.received) < world.wanted:
        gevent.sleep(0.001)
    world.use_spares('n', 'm', 'k')
    gevent.joinall(asked, timeout=10.0)
    answers = [each.get(block=False) for each in asked]
    assert all(_is_complete(received) for received, _ in answers)
    chosen = [_ids(path)[1] for _, _, path in world.orders.received]
    assert len(chosen) == world.wanted
    assert max(chosen.count(name) for name in 'nmk') <= 6
    assert world.retries == []
    assert len(world.first.received) == world.wanted
    assert world.rig.ledger.own_loads().tokens_by_target == {}


def test_no_load_remains_if_the_caller_disconnects_during_an_order(world):
    world.orders.delay_s = 0.4
    sock = world.rig.connect()
    sock.sendall(relay_rig.request('/stream/', prompt='800'))
    while not world.first.received:
        gevent.sleep(0.001)
    world.use_spares('n')
    with gevent.Timeout(5.0):
        while not world.orders.received:
            gevent.sleep(0.001)
        sock.close()
        while world.rig.ledger.own_loads().tokens_by_target:
            gevent.sleep(0.01)
    gevent.sleep(0.5)
    assert world.rig.ledger.own_loads().tokens_by_target == {}
    assert world.counted('stage_replaced') == 0


def test_loss_of_the_only_or_first_target_sends_no_order(world):
    first = functools.partial(_stage, 'first', 0, 80, world.first)
    world.rig.use_stages(first())
    world.lost = world.first
    asked = gevent.spawn(world.ask)
    while not world.first.received:
        gevent.sleep(0.001)
    world.rig.use_stages(
        first(), _stage('whole', 0, 80, world.whole, 'slow_whole')
    )
    received, _ = asked.get(timeout=10.0)
    assert _is_complete(received)
    assert world.orders.received == []
