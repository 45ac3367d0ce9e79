"""Tests for the order of the admission queue and the end of waits."""

from cactusmux_relay import admission_queue
from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
import pytest

ROOM = 10_000.0
ACTIVITY = stream_admission.Activity(hold_s=3.0)
NOW = 100.0


def _load(used, **more):
    return service_load.ServiceLoad(
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


FULL = _load(ROOM)


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


def _enqueue(queue, *requests, load=FULL):
    """Submits requests in order; all of them are queued."""
    for each in requests:
        _, verdict = queue.submit(each, load, ACTIVITY, each.asked_at)
        assert isinstance(verdict, admission_queue.Waiting)


def test_request_that_fits_is_admitted_at_once(queue, admitted):
    _, verdict = queue.submit(_candidate(), _load(0.0), ACTIVITY, NOW)
    assert verdict == admission_queue.Admitted(1.0)
    assert len(admitted) == 1


def test_urgent_requests_go_first_then_returning_then_the_oldest(
    queue, admitted
):
    late = _candidate(rank=1, tokens=300.0, at=NOW + 0.02)
    early = _candidate(rank=1, tokens=300.0, at=NOW)
    returning = late._replace(asked_at=NOW + 0.03, is_returning=True)
    urgent = _candidate(rank=0, tokens=300.0, at=NOW + 0.04)
    _enqueue(queue, early, late, returning, urgent)
    queue.review(_load(0.0), ACTIVITY, NOW + 0.1)
    assert admitted == [urgent, returning, early, late]


def test_organisation_that_uses_less_of_its_fair_share_goes_first(
    queue, admitted
):
    load = _load(
        8800.0,
        held_by_organisation={1: 8000.0, 2: 800.0},
        asked_by_organisation={1: 4000.0, 2: 4000.0},
    )
    over_share, under_share = (
        _candidate(organisation=1),
        _candidate(organisation=2, at=NOW + 0.01),
    )
    _enqueue(queue, over_share, under_share)
    queue.review(load, ACTIVITY, NOW + 0.1)
    assert admitted == [under_share]


def test_small_request_does_not_overtake_large_one(queue, admitted):
    """Guards against starvation by small requests that fit."""
    large, small = (
        _candidate(tokens=2000.0),
        _candidate(tokens=500.0, at=NOW + 0.01),
    )
    _enqueue(queue, large, small)
    queue.review(_load(8500.0), ACTIVITY, NOW + 0.1)
    assert admitted == []
    queue.review(_load(7500.0), ACTIVITY, NOW + 0.2)
    assert admitted == [large, small]


def test_new_request_does_not_overtake_one_that_waits(queue, admitted):
    first = _candidate(tokens=2000.0)
    _enqueue(queue, first)
    _, verdict = queue.submit(
        _candidate(tokens=500.0, at=NOW + 0.1),
        _load(8500.0),
        ACTIVITY,
        NOW + 0.1,
    )
    assert isinstance(verdict, admission_queue.Waiting)


def test_wait_ends_when_the_objective_would_be_missed(queue):
    request = _candidate()
    number, _ = queue.submit(request, FULL, ACTIVITY, NOW)
    queue.review(FULL, ACTIVITY, request.until)
    verdict = queue.verdict(number)
    assert isinstance(verdict, admission_queue.Rejected)
    assert verdict.reason is admission_queue.Reason.WAITED_TOO_LONG


def test_request_that_cannot_start_in_time_is_rejected_at_once(queue):
    """Capacity becomes free long after its objective, so waiting is futile."""
    _, verdict = queue.submit(_candidate(), _load(2 * ROOM), ACTIVITY, NOW)
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
    _enqueue(queue, small)
    assert not queue.withdraw(number)
    queue.review(_load(9000.0), ACTIVITY, NOW + 0.1)
    assert admitted == [small]


def test_withdraw_returns_whether_the_request_was_admitted(queue):
    number, _ = queue.submit(_candidate(), FULL, ACTIVITY, NOW)
    queue.review(_load(0.0), ACTIVITY, NOW + 0.1)
    assert queue.withdraw(number)
