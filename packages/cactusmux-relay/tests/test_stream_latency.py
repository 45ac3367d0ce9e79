"""Tests for the assessment of targets by response times and outcomes."""

from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import http_server
from cactusmux_relay import outcomes
from cactusmux_relay import plain_latency
from cactusmux_relay import slow_start
from cactusmux_relay import stream_latency
from cactusmux_relay import target_limits
from cactusmux_relay import targets
import pytest

Verdict = slow_start.Verdict
PAUSE_MS = 40.0
PAUSE_S = PAUSE_MS / cost_model.MS_PER_S
SIGNED = {'Signature': 's'}


class _Limits(target_limits.TargetLimits):
    """Records the assessments; all targets are limited."""

    def __init__(self):
        self.answers = []
        self.judged_ids = []
        self.at_limit_ids = frozenset()

    def ids_at_limit(self):
        return self.at_limit_ids

    def record_sent(self, stages):
        starts = tuple(each.start for each in stages)
        return target_limits.SentRequest(starts, frozenset(), frozenset(), 0.0)

    def record_response(self, sent, answer):
        self.answers.append((answer.verdict, answer.target_id))
        self.judged_ids.append([start.target_id for start in sent.starts])


def _path(*names):
    ranges = (targets.LayerRange(0, 40), targets.LayerRange(40, 80))
    return tuple(
        cost_model.Stage(sample_engine.target(name, layers=layers), layers)
        for name, layers in zip(names, ranges, strict=True)
    )


class _Stream:
    """One attempt over two stages with given event times."""

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
        self.latency = stream_latency.StreamLatency(
            self.limits, exchange, path, PAUSE_MS, 0.0
        )

    def events(self, *pauses_s):
        for each in pauses_s:
            self.now += each
            self.latency.record_event(self.now)

    @property
    def verdicts(self):
        return [verdict for verdict, _ in self.limits.answers]


@pytest.fixture(name='stream')
def _stream():
    return _Stream()


def test_stream_at_its_expected_speed_increases_limits_once(stream):
    stream.events(0.08, *[PAUSE_S] * 20)
    assert stream.limits.answers == [(Verdict.NEAR, None)]


def test_single_long_pause_is_not_slowness(stream):
    """The limit of a target that was only silent is kept."""
    stream.events(0.08, PAUSE_S, 2.0, *[PAUSE_S] * 10)
    assert stream.verdicts == [Verdict.NEAR]


def test_mostly_long_pauses_are_slowness(stream):
    stream.events(0.08, *[3 * PAUSE_S] * 4)
    assert stream.verdicts == [Verdict.SLOW]


def test_stream_that_slows_down_later_decreases_limits(stream):
    stream.events(0.08, *[PAUSE_S] * 4, *[3 * PAUSE_S] * 4)
    assert stream.verdicts == [Verdict.NEAR, Verdict.SLOW]


def test_stream_between_expected_and_slow_changes_nothing(stream):
    stream.events(0.08, *[2 * PAUSE_S] * 12)
    assert stream.verdicts == []


def test_late_first_event_is_slowness(stream):
    """On an overloaded target, prompts queue before the first event."""
    stream.events(0.6, *[PAUSE_S] * 8)
    assert stream.verdicts == [Verdict.SLOW]


def test_failure_and_rejection_concern_the_target_at_fault(stream):
    stream.latency.record_failure()
    stream.latency.record_rejection('second')
    stream.latency.record_rejection(None)
    assert stream.limits.answers == [
        (Verdict.FAILED, 'first'),
        (Verdict.REJECTED, 'second'),
    ]


def test_replaced_stage_is_not_assessed_by_later_events(stream):
    """Guards against lowering a lost target's limit for its replacement."""
    stream.events(0.1, 0.04)
    stream.latency.use_path(_path('first', 'other'), PAUSE_MS)
    # The first pause results from the loss, the next from the prefill.
    stream.events(0.03, 0.24)
    assert stream.verdicts == []
    stream.events(*[0.2] * 4)
    assert stream.verdicts == [Verdict.SLOW]
    assert stream.limits.judged_ids == [['first', 'other']]


def test_stream_with_a_replaced_stage_increases_no_limit(stream):
    """Its targets haven't decoded the answer from the start."""
    stream.latency.use_path(_path('first', 'other'), PAUSE_MS)
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


def test_streams_report_failures_and_rejections(rig):
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
def test_plain_requests_report_each_response(rig, answer, verdict):
    rig.use_plain(_target(answer).address)
    assert _ask(rig, '/unsafe/')[0] == (verdict, None)


@pytest.mark.parametrize(
    'after_s, verdict', [(0.3, Verdict.FAILED), (0.5, Verdict.SILENT)]
)
def test_plain_target_that_is_silent_has_not_failed(after_s, verdict):
    """It may be unreachable but working; a broken connection is a failure."""
    limits = _Limits()
    timer = timers.ManualTimers()
    target = sample_engine.target('one')
    latency = plain_latency.PlainLatency(limits, target, timer)
    timer.advance(after_s)
    lost = outcomes.MaybeRun(target.address, 'no answer in time')
    latency.record_outcome(lost, objective_s=0.25, wait_s=0.5)
    assert limits.answers == [(verdict, None)]


def test_plain_target_at_its_limit_is_used_where_there_is_no_other(rig):
    """A limit must never cause a refusal."""
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
