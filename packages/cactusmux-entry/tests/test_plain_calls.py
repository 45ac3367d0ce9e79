"""Tests of requests that must not be repeated, with one fault each."""

from typing import Any

from cactusmux_entry import plain_results
from cactusmux_fakes import scripted_store
import pytest
from returns import result

from bench import claim_fleet

Script = scripted_store.Script
Send = claim_fleet.Send
Step = claim_fleet.Step
# A new instance first requests the lease that limits retention.
GRANT = Script()
OUTAGE = (Script(dropped=True),) * 9


@pytest.fixture
def fleet() -> claim_fleet.Fleet:
    return claim_fleet.Fleet(3)


def reason(ran: plain_results.PlainResult | None) -> str:
    assert ran is not None
    if isinstance(ran, result.Success):
        return 'repeated' if ran.unwrap().repeated else 'complete'
    failure = ran.failure()
    kind = type(failure).__name__
    return f'{kind} {failure.reason}'


# Each case: the faults of the first request, its result, and the result of a
# retry through another instance, at once and after 60 s.
CASES: list[tuple[dict[str, Any], str, str, str]] = [
    ({}, 'complete', 'repeated', 'repeated'),
    (
        {'send': Send(lost_after=True)},
        'PlainUnknown plain_outcome_unknown',
        'PlainUnknown claim_outcome_unknown',
        'PlainUnknown claim_outcome_unknown',
    ),
    (
        {'send': Send(late=True)},
        'PlainUnknown plain_outcome_unknown',
        'PlainUnknown claim_outcome_unknown',
        'PlainUnknown claim_outcome_unknown',
    ),
    (
        {'send': Send(not_sent=True)},
        'PlainNotRun plain_not_sent',
        'complete',
        'repeated',
    ),
    (
        {'send': Send(refused=True)},
        'PlainNotRun plain_refused',
        'complete',
        'repeated',
    ),
    (
        {'send': Send(pause_s=6.0)},
        'PlainNotRun plain_not_sent',
        'complete',
        'repeated',
    ),
    (
        {'scripts': OUTAGE},
        'PlainNotRun claims_unavailable',
        'complete',
        'repeated',
    ),
    (
        {'scripts': (GRANT, Script(unanswered=True))},
        'complete',
        'repeated',
        'repeated',
    ),
    (
        {'scripts': (GRANT, Script(late=True))},
        'complete',
        'repeated',
        'repeated',
    ),
    (
        {'scripts': (GRANT, Script(unanswered=True), *OUTAGE)},
        'PlainNotRun claims_unavailable',
        'PlainUnknown claim_in_progress',
        'complete',
    ),
    (
        {'scripts': (GRANT, Script(), *OUTAGE)},
        'complete',
        'PlainUnknown claim_in_progress',
        'repeated',
    ),
    (
        {'scripts': (GRANT, Script(), Script(unanswered=True))},
        'complete',
        'repeated',
        'repeated',
    ),
]


@pytest.mark.parametrize('faults, first, repeat, later', CASES)
def test_retry_through_another_instance_after_a_fault(
    fleet, faults: dict[str, Any], first: str, repeat: str, later: str
) -> None:
    assert reason(fleet.request(Step(0, 0, **faults))) == first
    assert reason(fleet.request(Step(1, 0))) == repeat
    fleet.deliver_late()
    fleet.retry_pending()
    fleet.clock.advance(60.0)
    assert reason(fleet.request(Step(2, 0))) == later
    assert (fleet.double_runs, fleet.false_not_run) == (0, 0)


@pytest.mark.parametrize(
    'send', [Send(crash_before=True), Send(crash_after=True)]
)
def test_instance_replaced_mid_claim_leaves_outcome_unknown(
    fleet, send: Send
) -> None:
    assert fleet.request(Step(0, 0, send=send)) is None
    early = reason(fleet.request(Step(1, 0)))
    assert early == 'PlainUnknown claim_in_progress'
    fleet.clock.advance(60.0)
    late = reason(fleet.request(Step(0, 0)))
    assert late == 'PlainUnknown claim_outcome_unknown'
    assert fleet.double_runs == 0


def test_paused_instance_does_not_send_after_unknown_was_reported(
    fleet,
) -> None:
    # The outcome of the first claim becomes unknown during the pause.
    nested = (Step(1, 0),)
    paused = Step(0, 0, send=Send(pause_s=30.0), nested=nested)
    assert reason(fleet.request(paused)) == 'PlainNotRun plain_not_sent'
    assert fleet.outcome_counts['claim_outcome_unknown'] == 1
    assert reason(fleet.request(Step(2, 0))) == 'complete'


def test_concurrent_requests_with_one_key_run_once(fleet) -> None:
    race = Step(
        0, 0, scripts=(GRANT, Script(before_s=0.1)), nested=(Step(1, 0),)
    )
    assert reason(fleet.request(race)) == 'repeated'
    assert fleet.double_runs == 0


def test_retry_while_the_first_request_runs_is_in_progress(fleet) -> None:
    fleet.request(Step(0, 0, send=Send(pause_s=1.0), nested=(Step(1, 0),)))
    assert fleet.outcome_counts['claim_in_progress'] == 1
    assert fleet.outcome_counts['complete'] == 1


def test_claim_of_a_dead_instance_does_not_block_a_resumed_retry(
    fleet,
) -> None:
    scripts = (GRANT, Script(unanswered=True), *OUTAGE)
    refused = fleet.request(Step(0, 0, scripts=scripts)).failure()
    assert refused.resume_ids
    assert not refused.earlier_known
    fleet.crash(0)
    fleet.clock.advance(60.0)
    without = reason(fleet.request(Step(1, 0)))
    assert without == 'PlainUnknown claim_outcome_unknown'
    assert reason(fleet.request(Step(2, 0, resume=True))) == 'complete'
    assert (fleet.double_runs, fleet.false_not_run) == (0, 0)


def test_second_refusal_returns_all_resume_ids(fleet) -> None:
    # Regression test: the earlier claim was the one that was stored.
    scripts = (GRANT, Script(unanswered=True), *OUTAGE)
    first = fleet.request(Step(0, 0, scripts=scripts)).failure()
    fleet.crash(0)
    late = (GRANT, Script(late=True), *OUTAGE)
    second = fleet.request(Step(1, 0, scripts=late, resume=True)).failure()
    assert second.resume_ids[0] == first.resume_ids[0]
    assert len(second.resume_ids) == 2


def test_same_key_with_another_body_is_refused(fleet) -> None:
    fleet.request(Step(0, 0))
    other = fleet.request(Step(1, 0, body=1)).failure()
    assert type(other) is plain_results.PlainNotRun
    assert (other.reason, other.retry_after_s) == (
        'idempotency_key_reused',
        0.0,
    )


def test_claims_expire_after_retention_without_a_write(fleet) -> None:
    fleet.request(Step(0, 0))
    writes = fleet.metric.counter_by_name
    assert writes['claims.recorded.finished'] == 1
    assert len(fleet.store.get_prefix('claims/').unwrap()) == 1
    fleet.clock.advance(86_399.0)
    assert len(fleet.store.get_prefix('claims/').unwrap()) == 1
    fleet.clock.advance(3_602.0)
    assert fleet.store.get_prefix('claims/').unwrap() == ()
