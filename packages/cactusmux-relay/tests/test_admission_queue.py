"""The order of those that wait, and when waiting ends."""

from cactusmux_relay import admission_queue
from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
import pytest

ROOM = 10_000.0
ACTIVITY = stream_admission.Activity(hold_s=3.0)
NOW = 100.0


def _pressure(used, **more):
    return service_load.Pressure(
        room_tokens=ROOM,
        held=(used, 0.0, 0.0),
        asked=(0.0, 0.0, 0.0),
        rejected=(0.0, 0.0, 0.0),
        own_tokens=0.0,
        instances=1,
        heard=0,
        age_s=0.0,
        **more,
    )


FULL = _pressure(ROOM)


@pytest.fixture(name='admitted')
def _admitted():
    return []


@pytest.fixture(name='queue')
def _queue(admitted):
    return admission_queue.AdmissionQueue(admitted.append)


def _candidate(rank=1, tokens=1000.0, at=NOW, wait_s=0.4, **more):
    values = {'organisation': 1, 'is_returning': False, **more}
    return stream_admission.Candidate(
        rank=rank, tokens=tokens, asked_at=at, until=at + wait_s, **values
    )


def _put(queue, *asks, pressure=FULL):
    """Asks one after the other; all of them have to wait."""
    for each in asks:
        _, verdict = queue.submit(each, pressure, ACTIVITY, each.asked_at)
        assert isinstance(verdict, admission_queue.Waiting)


def test_request_that_fits_begins_at_once(queue, admitted):
    _, verdict = queue.submit(_candidate(), _pressure(0.0), ACTIVITY, NOW)
    assert verdict == admission_queue.Admitted(1.0)
    assert len(admitted) == 1


def test_urgent_requests_go_first_then_returning_then_the_oldest(
    queue, admitted
):
    late = _candidate(rank=1, tokens=300.0, at=NOW + 0.02)
    early = _candidate(rank=1, tokens=300.0, at=NOW)
    returning = late._replace(asked_at=NOW + 0.03, is_returning=True)
    urgent = _candidate(rank=0, tokens=300.0, at=NOW + 0.04)
    _put(queue, early, late, returning, urgent)
    queue.review(_pressure(0.0), ACTIVITY, NOW + 0.1)
    assert admitted == [urgent, returning, early, late]


def test_organisation_that_holds_less_of_its_part_goes_first(queue, admitted):
    pressure = _pressure(
        8800.0,
        held_by_organisation={1: 8000.0, 2: 800.0},
        asked_by_organisation={1: 4000.0, 2: 4000.0},
    )
    greedy, modest = (
        _candidate(organisation=1),
        _candidate(organisation=2, at=NOW + 0.01),
    )
    _put(queue, greedy, modest)
    queue.review(pressure, ACTIVITY, NOW + 0.1)
    assert admitted == [modest]


def test_large_request_keeps_its_turn(queue, admitted):
    """Small ones that fit would pass it over again and again."""
    large, small = (
        _candidate(tokens=2000.0),
        _candidate(tokens=500.0, at=NOW + 0.01),
    )
    _put(queue, large, small)
    queue.review(_pressure(8500.0), ACTIVITY, NOW + 0.1)
    assert admitted == []
    queue.review(_pressure(7500.0), ACTIVITY, NOW + 0.2)
    assert admitted == [large, small]


def test_new_request_does_not_overtake_one_that_waits(queue, admitted):
    first = _candidate(tokens=2000.0)
    _put(queue, first)
    _, verdict = queue.submit(
        _candidate(tokens=500.0, at=NOW + 0.1),
        _pressure(8500.0),
        ACTIVITY,
        NOW + 0.1,
    )
    assert isinstance(verdict, admission_queue.Waiting)


def test_wait_ends_when_the_objective_would_be_missed(queue):
    ask = _candidate()
    number, _ = queue.submit(ask, FULL, ACTIVITY, NOW)
    queue.review(FULL, ACTIVITY, ask.until)
    verdict = queue.verdict(number)
    assert isinstance(verdict, admission_queue.Rejected)
    assert verdict.reason is admission_queue.Reason.WAITED_TOO_LONG


def test_request_without_a_chance_is_rejected_at_once(queue):
    """Nothing is held for nothing: room comes much later than its time."""
    _, verdict = queue.submit(_candidate(), _pressure(2 * ROOM), ACTIVITY, NOW)
    assert isinstance(verdict, admission_queue.Rejected)
    assert verdict.reason is admission_queue.Reason.TOO_LATE
    assert verdict.expected_s == pytest.approx(3.3, abs=0.1)


def test_full_queue_rejects_the_least_urgent(queue):
    tiny = 0.01
    numbers = []
    for _ in range(admission_queue.MAX_WAITING):
        number, _ = queue.submit(_candidate(2, tiny), FULL, ACTIVITY, NOW)
        numbers.append(number)
    _, verdict = queue.submit(_candidate(0, tiny), FULL, ACTIVITY, NOW)
    assert isinstance(verdict, admission_queue.Waiting)
    verdicts = [queue.verdict(each) for each in numbers]
    rejected = [
        each for each in verdicts if isinstance(each, admission_queue.Rejected)
    ]
    assert [each.reason for each in rejected] == [
        admission_queue.Reason.QUEUE_FULL
    ]
    assert len(queue.waiting) == admission_queue.MAX_WAITING


def test_withdrawn_request_blocks_nobody(queue, admitted):
    number, _ = queue.submit(_candidate(tokens=2000.0), FULL, ACTIVITY, NOW)
    small = _candidate(tokens=500.0, at=NOW + 0.01)
    _put(queue, small)
    assert not queue.withdraw(number)
    queue.review(_pressure(9000.0), ACTIVITY, NOW + 0.1)
    assert admitted == [small]


def test_request_withdrawn_after_it_was_admitted_is_told_of(queue):
    number, _ = queue.submit(_candidate(), FULL, ACTIVITY, NOW)
    queue.review(_pressure(0.0), ACTIVITY, NOW + 0.1)
    assert queue.withdraw(number)
