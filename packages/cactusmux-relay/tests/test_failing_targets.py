"""Ejection of targets that fail streams, alone and in a simulated fleet.

The fleet has the load of a large deployment: 97 instances with about one
stream per second each, and 93 targets, nine of which fail all streams for 6 s.
"""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import failing_fleet
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_relay import cost_model
from cactusmux_relay import ejection_reports
from cactusmux_relay import failing_targets
from cactusmux_relay import load_tracker
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_routing import breakers
import pytest

INSTANCES = 97
STREAMS_PER_S = 108.6
FAULTY_TARGETS = 9
FAULT_S = 6.0
WARM_UP_S = 8.0
MAX_LOST_SHARE = 0.02
TOKENS = 984.0
# A failed stream of this duration counts as load for the maximum time.
LONG_STREAM_S = 10.0


def _run_with_faults(seed, **options):
    """Returns the results of callers during nine faults, and the fleet."""
    fleet = failing_fleet.FailingFleet(
        INSTANCES, STREAMS_PER_S, seed, **options
    )
    before = fleet.play(WARM_UP_S)
    assert before.failed == 0
    fleet.bad_ids = _sample_faulty_ids(fleet)
    return fleet.play(FAULT_S), fleet


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_few_streams_are_lost_while_nine_targets_fail_all(seed):
    """One in five streams was lost when instances shared no reports."""
    result, _ = _run_with_faults(seed)
    assert result.asked > FAULT_S * STREAMS_PER_S / 2
    assert result.lost_share < MAX_LOST_SHARE


def test_few_streams_are_lost_if_responses_name_no_target_at_fault():
    """If the response names no target, the first of the path is at fault."""
    result, _ = _run_with_faults(4, is_blame_named=False, fails_inside=False)
    assert result.lost_share < MAX_LOST_SHARE


def test_few_streams_are_lost_if_half_of_the_messages_are_dropped():
    result, _ = _run_with_faults(5, loss=0.5)
    assert result.lost_share < MAX_LOST_SHARE


def test_recovered_targets_are_soon_used_again():
    """Excluding them for longer would waste capacity that is needed."""
    _, fleet = _run_with_faults(6)
    recovered = fleet.bad_ids
    fleet.bad_ids = set()
    fleet.play(
        ejection_reports.MAX_REPORT_LIFETIME_S + breakers.MAX_EJECTION_S
    )
    for member in fleet.member_by_name.values():
        assert not recovered & member.failing.ids()


def test_requests_succeed_when_all_targets_are_ejected():
    """Excluding all targets must not reject streams that some could serve."""
    fleet = failing_fleet.FailingFleet(3, 5.0, 7)
    for member in fleet.member_by_name.values():
        for each in fleet.targets:
            member.failing.record_failure(each, is_answered=True)
        assert len(member.failing.ids()) == len(fleet.targets)
    result = fleet.play(2.0)
    assert result.asked > 0
    assert result.failed == 0


def _sample_faulty_ids(fleet):
    """Samples targets, no two with the same layers on the same card.

    Some layer ranges are held by two targets only. If both failed, the rest
    would lack capacity, which is a different failure than the one tested.
    """
    id_by_part = {}
    for each in fleet.rng.sample(fleet.targets, len(fleet.targets)):
        id_by_part.setdefault((each.card, each.layers), each.id)
        if len(id_by_part) == FAULTY_TARGETS:
            break
    return set(id_by_part.values())


class _Instance:
    """One instance that uses three targets."""

    def __init__(self):
        self.timer = timers.ManualTimers()
        self.metric = metrics.MemoryMetrics()
        self.members = [
            sample_engine.target(
                f't{index}',
                layers=targets.LayerRange(30 * index, 30 * index + 20),
                address=f'10.0.0.{index}:80',
            )
            for index in range(3)
        ]
        self.registry = target_registry.TargetRegistry()
        self.tracker = load_tracker.LoadTracker(self.timer)
        self._services = relay_rig.make_desired_state().service_by_name
        self.replace(self.members)
        rng = random.Random(1)
        reports = ejection_reports.EjectionReports(
            'own', self.registry, self.timer, self.metric, rng
        )
        self.failing = failing_targets.FailingTargets(
            self.registry, self.tracker, reports, self.timer, self.metric, rng
        )

    def replace(self, members):
        self.registry.replace(members, self._services)

    def begin(self, duration_s=LONG_STREAM_S, lost_ids=frozenset):
        path = tuple(
            cost_model.Stage(each, each.layers) for each in self.members
        )
        return self.failing.begin('r1', path, TOKENS, duration_s, lost_ids)


def test_error_response_ejects_the_named_target_at_once():
    instance = _Instance()
    instance.begin().record_error_response(500, '10.0.0.1:80')
    assert instance.failing.ids() == {'t1'}


@pytest.mark.parametrize('named', [None, '10.9.9.9:80'])
def test_error_that_names_no_target_of_the_path_ejects_the_first(named):
    instance = _Instance()
    assert instance.begin().record_error_response(500, named) == 't0'
    assert instance.failing.ids() == {'t0'}


def test_only_consecutive_broken_connections_eject():
    """A single one may be the fault of this instance's link."""
    instance = _Instance()
    for _ in range(breakers.CONSECUTIVE_FAILURES - 1):
        instance.begin().record_broken_response('reset')
    instance.begin().record_event()
    instance.begin().record_broken_response('reset')
    assert not instance.failing.ids()
    for _ in range(breakers.CONSECUTIVE_FAILURES - 1):
        instance.begin().record_broken_response('reset')
    assert instance.failing.ids() == {'t0'}


def test_break_after_the_first_event_ejects_no_target():
    instance = _Instance()
    for _ in range(breakers.CONSECUTIVE_FAILURES):
        recorder = instance.begin()
        recorder.record_event()
        recorder.record_broken_response('reset')
        recorder.end()
    assert not instance.failing.ids()


def _replace_stage(instance, recorder, place):
    """Moves a stage to another target; returns that target."""
    lost = instance.members[place]
    other = lost._replace(id='other', address='10.0.0.9:80')
    instance.replace([*instance.members, other])
    path = [cost_model.Stage(each, each.layers) for each in instance.members]
    path[place] = cost_model.Stage(other, other.layers)
    recorder.use_path(tuple(path), 40.0)
    return other


def test_failure_after_a_replacement_ejects_the_new_target():
    """The first one was ejected when the recorder kept the old path."""
    instance = _Instance()
    recorder = instance.begin()
    other = _replace_stage(instance, recorder, 1)
    assert recorder.record_error_response(500, other.address) == 'other'
    assert instance.failing.ids() == {'other'}


def test_success_after_a_replacement_is_not_recorded_for_the_lost_target():
    """It closed the breaker of a target that hadn't contributed."""
    instance = _Instance()
    recorder = instance.begin()
    other = _replace_stage(instance, recorder, 1)
    reported_ids = []
    instance.failing.record_success = lambda target: reported_ids.append(
        target.id
    )
    recorder.record_event()
    assert reported_ids == ['t0', other.id, 't2']


def test_lost_target_is_abandoned_once_it_is_replaced():
    """Its breaker waited for a result that the stream couldn't produce."""
    instance = _Instance()
    recorder = instance.begin()
    reported_ids = []
    instance.failing.record_abandoned = lambda target: reported_ids.append(
        target.id
    )
    _replace_stage(instance, recorder, 1)
    assert reported_ids == ['t1']


def test_no_outcome_is_recorded_for_a_lost_target_not_yet_replaced():
    instance = _Instance()
    instance.begin().record_error_response(500, '10.0.0.1:80')
    instance.begin(lost_ids=lambda: frozenset(('t1',))).record_event()
    assert instance.failing.ids() == {'t1'}
    recorder = instance.begin(lost_ids=lambda: frozenset(('t0',)))
    recorder.record_error_response(500, '10.0.0.0:80')
    assert instance.failing.ids() == {'t1'}


def test_abandoned_attempt_does_not_keep_a_target_ejected():
    """As the breaker's probe, it kept its target out until a time-out."""
    instance = _Instance()
    instance.begin().record_error_response(500, '10.0.0.1:80')
    instance.timer.advance(breakers.BASE_EJECTION_S)
    recorder = instance.begin()
    assert instance.failing.ids() == {'t1'}
    recorder.end()
    assert not instance.failing.ids()


def test_probe_that_succeeds_readmits():
    instance = _Instance()
    instance.begin().record_error_response(500, '10.0.0.1:80')
    instance.timer.advance(breakers.BASE_EJECTION_S)
    instance.begin().record_event()
    assert not instance.failing.ids()
    assert instance.metric.counter_by_name['breaker.closed'] == 1


def test_failed_stream_counts_as_load():
    instance = _Instance()
    instance.begin().record_error_response(500, '10.0.0.1:80')
    assert instance.tracker.all_requests('t1') == 1
    assert instance.tracker.own_loads().tokens_by_target == {'t1': TOKENS}
    instance.timer.advance(failing_targets.MAX_FAILED_LOAD_S)
    assert instance.tracker.all_requests('t1') == 0


def test_failed_stream_counts_no_longer_than_it_would_have_run():
    instance = _Instance()
    instance.begin(duration_s=0.3).record_error_response(500, '10.0.0.1:80')
    instance.timer.advance(0.3)
    assert instance.tracker.all_requests('t1') == 0


def test_breaker_of_a_removed_target_is_dropped():
    instance = _Instance()
    instance.failing.start()
    instance.begin().record_error_response(500, '10.0.0.1:80')
    instance.replace(instance.members[:1])
    instance.timer.advance(failing_targets.CLEANUP_PERIOD_S)
    assert not instance.failing.ids()
    instance.replace(instance.members)
    assert not instance.failing.ids()
