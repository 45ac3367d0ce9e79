from cactusmux import cause_table
from cactusmux import log_explanation
import pytest

LIMITS = cause_table.Limits(500.0, 200.0)
PREFIX = 'I1204 16:00:00.000000 1 events.py:29] '


def _served(request_id, first_ms=90, pause_ms=60):
    return (
        f'event=stream_served id={request_id} first_ms={first_ms} '
        f'longest_pause_ms={pause_ms}'
    )


def _causes(*events):
    lines = log_explanation.parse(PREFIX + each for each in events)
    return [
        (each.name, each.requests)
        for each in cause_table.count_causes(lines, LIMITS)
    ]


def test_requests_in_time_are_not_counted():
    assert (
        _causes(
            'event=path_chosen id=a',
            'event=stage_replaced id=a',
            _served('a'),
            'event=plain_served id=b status=200',
            'event=request_refused id=c reason=no_route',
            'event=target_down target=t',
            'event=request_malformed id=d status=413',
        )
        == []
    )


@pytest.mark.parametrize(
    'events, cause',
    [
        ([_served('a', 501)], 'late: first event, on its first path'),
        ([_served('a', 90, 201)], 'late: a pause, on its first path'),
        (
            ['event=stage_not_replaced id=a', _served('a', 90, 300)],
            'late: a lost stage was not replaced',
        ),
        (
            [
                'event=stage_replaced id=a',
                'event=stream_broken id=a',
                _served('a', 90, 300),
            ],
            'late: a lost stage was replaced, too late',
        ),
        (['event=request_refused id=a reason=no_room'], 'refused: no_room'),
        (['event=caller_gone id=a'], 'the caller left'),
        (
            ['event=failure_passed_on id=a status=500'],
            'its target answered with a failure',
        ),
        (['event=path_chosen id=a'], 'the instance stopped or was killed'),
        (['event=request_ended id=a cause=body_cut'], 'the caller left'),
        (
            [
                'event=caller_gone id=a',
                'event=request_ended id=a cause=caller_disconnected',
            ],
            'the caller left',
        ),
        (
            [
                'event=request_refused id=a reason=target_failed status=0',
                'event=request_ended id=a cause=aborted',
            ],
            'refused: target_failed',
        ),
        (
            [
                'event=plain_served id=a status=200',
                'event=request_ended id=a cause=caller_stalled',
            ],
            'ended: caller_stalled',
        ),
        (
            ['event=request_ended id=a cause=handler_failed'],
            'ended: handler_failed',
        ),
    ],
)
def test_each_request_counts_under_its_first_cause(events, cause):
    assert _causes(*events) == [(cause, 1)]


def test_frequent_causes_come_first_with_two_examples():
    refused = [
        f'event=request_refused id=r{number} reason=no_room'
        for number in range(3)
    ]
    lines = log_explanation.parse(
        PREFIX + each for each in [_served('a', 900), *refused]
    )
    causes = cause_table.count_causes(lines, LIMITS)
    assert [each.requests for each in causes] == [3, 1]
    assert causes[0].example_ids == ('r0', 'r1')
    assert cause_table.format_causes(causes)[0].endswith('(r0, r1)')
