"""What the times of a stream say of the targets on its path."""

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import http_server
from cactusmux_relay import outcomes
from cactusmux_relay import plain_pace
from cactusmux_relay import slow_start
from cactusmux_relay import stream_pace
from cactusmux_relay import target_limits
from cactusmux_relay import targets
import pytest

Verdict = slow_start.Verdict
PAUSE_MS = 40.0
USUAL_S = PAUSE_MS / cost_model.MS_PER_S
SIGNED = {'Signature': 's'}


class _Limits(target_limits.TargetLimits):
    """Notes what it is told; all targets are limited."""

    def __init__(self):
        self.answers = []
        self.judged_ids = []
        self.at_limit_ids = frozenset()

    def at_limit(self):
        return self.at_limit_ids

    def note_sent(self, stages):
        starts = tuple(each.start for each in stages)
        return target_limits.Sent(starts, frozenset(), frozenset(), 0.0)

    def note_answer(self, sent, answer):
        self.answers.append((answer.verdict, answer.target_id))
        self.judged_ids.append([start.target_id for start in sent.starts])


def _path(*names):
    ranges = (targets.LayerRange(0, 40), targets.LayerRange(40, 80))
    return tuple(
        cost_model.Stage(sample_engine.target(name, layers=layers), layers)
        for name, layers in zip(names, ranges, strict=True)
    )


class _Stream:
    """One attempt over two stages, by the times of its events."""

    def __init__(self):
        self.limits = _Limits()
        state = relay_rig.make_desired_state()
        facts = dialect.RequestFacts(
            'r1', 'h', None, None, '', 800.0, 200.0, None, None, []
        )
        exchange = context.Exchange(
            request=None,
            facts=facts,
            answerer=http_server.Answerer,
            route=relay_rig.ROUTES[3],
            service=state.service_by_name[sample_engine.SERVICE],
            organisation=None,
            ends_at=20.0,
        )
        path = _path('first', 'second')
        self.now = 0.0
        self.pace = stream_pace.StreamPace(
            self.limits, exchange, path, PAUSE_MS, 0.0
        )

    def events(self, *pauses_s):
        for each in pauses_s:
            self.now += each
            self.pace.note_event(self.now)

    @property
    def verdicts(self):
        return [verdict for verdict, _ in self.limits.answers]


@pytest.fixture(name='stream')
def _stream():
    return _Stream()


def test_stream_at_its_expected_pace_raises_limits_once(stream):
    stream.events(0.08, *[USUAL_S] * 20)
    assert stream.limits.answers == [(Verdict.NEAR, None)]


def test_long_pause_alone_is_silence_not_slowness(stream):
    """A target that was merely silent keeps its limit."""
    stream.events(0.08, USUAL_S, 2.0, *[USUAL_S] * 10)
    assert stream.verdicts == [Verdict.NEAR]


def test_most_pauses_being_long_is_slowness(stream):
    stream.events(0.08, *[3 * USUAL_S] * 4)
    assert stream.verdicts == [Verdict.SLOW]


def test_stream_that_slows_down_later_lowers_limits_after_all(stream):
    stream.events(0.08, *[USUAL_S] * 4, *[3 * USUAL_S] * 4)
    assert stream.verdicts == [Verdict.NEAR, Verdict.SLOW]


def test_stream_between_expected_and_slow_changes_nothing(stream):
    stream.events(0.08, *[2 * USUAL_S] * 12)
    assert stream.verdicts == []


def test_late_first_event_is_slowness(stream):
    """Prompts queue there first where a target is flooded."""
    stream.events(0.6, *[USUAL_S] * 8)
    assert stream.verdicts == [Verdict.SLOW]


def test_failure_and_rejection_concern_the_target_at_fault(stream):
    stream.pace.note_failed()
    stream.pace.note_rejected('second')
    stream.pace.note_rejected(None)
    assert stream.limits.answers == [
        (Verdict.FAILED, 'first'),
        (Verdict.REJECTED, 'second'),
    ]


def test_replaced_stage_is_not_judged_by_later_events(stream):
    """A target that was slow after a replacement lowered the lost one."""
    stream.events(0.1, 0.04)
    stream.pace.use_path(_path('first', 'other'), PAUSE_MS)
    # The first pause is that of the loss, the next that of the reading.
    stream.events(0.03, 0.24)
    assert stream.verdicts == []
    stream.events(*[0.2] * 4)
    assert stream.verdicts == [Verdict.SLOW]
    assert stream.limits.judged_ids == [['first', 'other']]


def test_stream_with_a_replaced_stage_raises_no_limit(stream):
    """Its targets have not written the answer from its start."""
    stream.pace.use_path(_path('first', 'other'), PAUSE_MS)
    stream.events(0.4, *[0.04] * 12)
    assert stream.verdicts == []


@pytest.fixture(name='rig')
def _rig():
    rig = relay_rig.RelayRig(limits=_Limits())
    yield rig
    rig.server.stop()


def _target(answer):
    def script(sock, _request):
        sock.sendall(answer)
        return False

    return scripted_target.ScriptedTarget(script)


def _ask(rig, path):
    rig.ask(relay_rig.request(path))
    return rig.limits.answers


def test_streams_tell_of_failures_and_rejections(rig):
    failing = _target(scripted_target.answer(b'', 500, SIGNED))
    rig.use_engines(failing.address)
    assert (Verdict.FAILED, 'e0') in _ask(rig, '/once/')
    rig.limits.answers.clear()
    full = _target(scripted_target.answer(b'', 503, {'Not-Run': '1'}))
    rig.use_engines(full.address)
    assert (Verdict.REJECTED, 'e0') in _ask(rig, '/once/')


@pytest.mark.parametrize(
    'answer, verdict',
    [
        (scripted_target.answer(b'', 200, SIGNED), Verdict.NEAR),
        (scripted_target.answer(b'', 500, SIGNED), Verdict.FAILED),
        (scripted_target.answer(b'', 503, {'Not-Run': '1'}), Verdict.REJECTED),
        (b'', Verdict.FAILED),
    ],
)
def test_plain_requests_tell_of_each_answer(rig, answer, verdict):
    rig.use_plain(_target(answer).address)
    assert _ask(rig, '/unsafe/')[0] == (verdict, None)


@pytest.mark.parametrize(
    'after_s, verdict', [(0.3, Verdict.FAILED), (0.5, Verdict.SILENT)]
)
def test_plain_target_that_is_silent_has_not_failed(after_s, verdict):
    """It may be cut off from us and work; one that breaks off has failed."""
    limits = _Limits()
    timer = timers.ManualTimers()
    target = sample_engine.target('one')
    pace = plain_pace.PlainPace(limits, target, timer)
    timer.advance(after_s)
    lost = outcomes.MaybeRun(target.address, 'no answer in time')
    pace.note(lost, objective_s=0.25, wait_s=0.5)
    assert limits.answers == [(verdict, None)]


def test_plain_target_at_its_limit_is_used_where_there_is_no_other(rig):
    """A limit is never a reason to refuse a request."""
    one = _target(scripted_target.answer(b'', 200, SIGNED))
    other = _target(scripted_target.answer(b'', 200, SIGNED))
    rig.limits.at_limit_ids = frozenset(('p0',))
    rig.use_plain(one.address, other.address)
    for _ in range(5):
        _ask(rig, '/unsafe/')
    assert not one.received
    rig.limits.at_limit_ids = frozenset(('p0', 'p1'))
    for _ in range(5):
        _ask(rig, '/unsafe/')
    assert one.received
    assert [each for each, _ in rig.limits.answers] == [Verdict.NEAR] * 10
