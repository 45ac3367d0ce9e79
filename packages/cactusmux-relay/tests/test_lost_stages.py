"""Tests of which targets are blamed when a stream that lost a stage ends."""

from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_fakes import silent_orders
from cactusmux_relay import slow_start
from cactusmux_relay import target_limits
from cactusmux_relay import targets
import gevent
from gevent import event
import pytest
from returns import result

HEAD = scripted_target.stream_head({'Signature': 's'})
EVENTS = [scripted_target.event(number) for number in range(1, 5)]


class _Limits(target_limits.UnlimitedTargets):
    """Records which targets failed, and all paths that were used."""

    def __init__(self):
        self.sent = []
        self.failed_ids = []

    def record_sent(self, stages):
        self.sent.append([each.id for each in stages])
        return super().record_sent(stages)

    def record_response(self, sent, answer):
        if answer.verdict is slow_start.Verdict.FAILED:
            self.failed_ids.append(answer.target_id)


class _Scenario:
    """A path of two stages whose first target breaks off the stream.

    :param events: number of events before that.
    :param is_lost: whether the second target goes down then.
    """

    def __init__(self, events, is_lost):
        self.rig = relay_rig.RelayRig(limits=_Limits())
        self._events = events
        self._is_lost = is_lost
        self.first = scripted_target.ScriptedTarget(self._write)
        self.lost = scripted_target.ScriptedTarget(lambda sock, request: False)
        self.whole = scripted_target.ScriptedTarget(self._write_rest)
        self._use()

    def _use(self, *more):
        self.rig.use_stages(
            _stage('first', 0, 40, self.first),
            _stage('lost', 40, 80, self.lost),
            *more,
        )

    def _write(self, sock, request):
        if len(self.first.received) > 1:
            return self._write_rest(sock, request)
        if self._events:
            chunks = map(scripted_target.chunk, EVENTS[: self._events])
            sock.sendall(HEAD + b''.join(chunks))
        if self._is_lost:
            self.rig.down.mark(
                _stage('lost', 40, 80, self.lost), 'test', is_refused=False
            )
        # There was no other path before, so the relay hasn't interrupted it.
        self._use(
            _stage('other', 40, 80, self.lost),
            _stage('whole', 0, 80, self.whole, 'slow_whole'),
        )
        return False

    def _write_rest(self, sock, request):
        after = int(request.value_by_header.get('last-event', 0))
        rest = b''.join(scripted_target.chunk(each) for each in EVENTS[after:])
        sock.sendall(HEAD + rest + scripted_target.chunk(b''))
        return False

    def end(self):
        """Stops all servers."""
        self.rig.server.stop()
        for each in (self.first, self.lost, self.whole):
            each.stop()


def _stage(name, first, end, target, card='whole'):
    layers = targets.LayerRange(first, end)
    return sample_engine.target(name, card, 'a', layers, target.address)


@pytest.fixture(name='make_world')
def _make_world():
    made = []

    def make(*given):
        made.append(_Scenario(*given))
        return made[-1]

    yield make
    for each in made:
        each.end()


def _failures(scenario):
    """Returns the failures reported to circuit breakers and limits."""
    counted = scenario.rig.metric.counter_by_name
    return (
        counted.get('relay.stream_target_failed', 0),
        scenario.rig.limits.failed_ids,
    )


@pytest.mark.parametrize('events', [0, 2])
def test_break_after_loss_of_a_later_stage_blames_no_target(
    make_world, events
):
    """The first target was avoided and limited after another one failed."""
    scenario = make_world(events, True)
    received = scenario.rig.ask(relay_rig.request('/stream/', prompt='800'))
    assert EVENTS[-1] in received
    assert _failures(scenario) == (0, [])
    assert len(scenario.first.received) == 2
    assert scenario.whole.received == []


@pytest.mark.parametrize('events', [0, 2])
def test_break_of_an_intact_path_blames_the_first_target(make_world, events):
    scenario = make_world(events, False)
    received = scenario.rig.ask(relay_rig.request('/stream/', prompt='800'))
    assert EVENTS[-1] in received
    # The first event has been reported to its circuit breaker as a success.
    assert _failures(scenario) == (0 if events else 1, ['first'])
    assert len(scenario.first.received) == 1
    assert len(scenario.whole.received) == 1


class _Orders(silent_orders.SilentOrders):
    """Accepts each order."""

    def __init__(self):
        self.carried_out = event.Event()

    def change_path(self, first, request_id, path):
        self.carried_out.set()
        return result.Success(None)


def test_first_event_after_a_replacement_is_credited_to_the_new_path():
    """The success of the new target was credited to the lost one."""
    orders = _Orders()
    rig = relay_rig.RelayRig(orders, _Limits())
    spare = scripted_target.ScriptedTarget(lambda sock, request: False)

    def write(sock, _request):
        stages.append(_stage('other', 40, 80, spare))
        rig.use_stages(*stages)
        rig.down.mark(stages[1], 'test')
        assert orders.carried_out.wait(5.0)
        gevent.sleep(0.02)
        chunks = map(scripted_target.chunk, [*EVENTS, b''])
        sock.sendall(HEAD + b''.join(chunks))
        return False

    first = scripted_target.ScriptedTarget(write)
    stages = [_stage('first', 0, 40, first), _stage('lost', 40, 80, spare)]
    rig.use_stages(*stages)
    credited_ids = []
    rig.failing.record_success = lambda target: credited_ids.append(target.id)
    received = rig.ask(relay_rig.request('/stream/', prompt='800'))
    assert EVENTS[-1] in received
    assert credited_ids == ['first', 'other']
    assert [path[1] for path in rig.limits.sent] == ['lost', 'other']
    rig.server.stop()
    for each in (first, spare):
        each.stop()
