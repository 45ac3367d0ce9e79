"""Counts late, refused and lost requests by their first cause, from logs.

Each request counts once, under the first event in its log that can explain
how it ended. The table shows where service is lost, with examples that
``cactusmux explain`` explains further.
"""

from collections.abc import Iterable
from typing import NamedTuple

from . import log_explanation

MAX_EXAMPLES = 2
# Refusals that are the request's own fault.
_OWN_FAULTS = frozenset(('malformed', 'no_route', 'unknown_key'))
# Events of a late stream that name a cause, and the cause. The first event
# of the stream that is listed here counts.
_CAUSE_BY_EVENT = {
    'path_rejected': 'a target rejected it',
    'stage_replaced': 'a lost stage was replaced, too late',
    'stage_not_replaced': 'a lost stage was not replaced',
    'stream_kept': 'no other path for a lost stage',
    'stream_broken': 'its stream broke',
    'no_path': 'it waited for room',
}
# Abnormal ends that are the caller's doing.
_ENDS_BY_CALLER = frozenset(
    ('body_cut', 'caller_disconnected', 'caller_unreachable')
)
_IN_TIME = ''


class Limits(NamedTuple):
    """What a stream's caller expects, in milliseconds."""

    first_event_ms: float
    pause_ms: float


class Cause(NamedTuple):
    """Requests that ended badly for one reason, with the ids of some."""

    name: str
    requests: int
    example_ids: tuple[str, ...]


def count_causes(
    lines: Iterable[log_explanation.LogLine], limits: Limits
) -> list[Cause]:
    """Returns all causes, the most frequent ones first."""
    lines_by_id: dict[str, list[log_explanation.LogLine]] = {}
    for line in lines:
        request_id = line.value_by_key.get('id')
        if request_id is not None:
            lines_by_id.setdefault(request_id, []).append(line)
    ids_by_cause: dict[str, list[str]] = {}
    for request_id, request_lines in lines_by_id.items():
        cause = _find_cause(request_lines, limits)
        if cause != _IN_TIME:
            ids_by_cause.setdefault(cause, []).append(request_id)
    causes = [
        Cause(name, len(ids), tuple(ids[:MAX_EXAMPLES]))
        for name, ids in ids_by_cause.items()
    ]
    return sorted(causes, key=lambda each: (-each.requests, each.name))


def format_causes(causes: Iterable[Cause]) -> list[str]:
    """Returns a line for each cause."""
    return [
        f'{each.requests:6d}  {each.name}  ({", ".join(each.example_ids)})'
        for each in causes
    ]


def _find_cause(lines: list[log_explanation.LogLine], limits: Limits) -> str:
    last = lines[-1]
    if last.event == 'request_ended':
        return _cause_of_end(lines)
    if last.event == 'stream_served':
        return _cause_of_late_stream(lines, limits)
    if last.event in ('plain_served', 'request_malformed'):
        return _IN_TIME
    if last.event == 'request_refused':
        return _cause_of_refusal(last)
    if last.event == 'failure_passed_on':
        return 'its target answered with a failure'
    if last.event == 'caller_gone':
        return 'the caller left'
    return 'the instance stopped or was killed'


def _cause_of_end(lines: list[log_explanation.LogLine]) -> str:
    """Names the cause of an abnormal end; a refusal before it counts."""
    cause = lines[-1].value_by_key.get('cause', '')
    if cause == 'aborted':
        for line in lines:
            if line.event == 'request_refused':
                return _cause_of_refusal(line)
    if cause in _ENDS_BY_CALLER:
        return 'the caller left'
    return f'ended: {cause}'


def _cause_of_refusal(line: log_explanation.LogLine) -> str:
    reason = line.value_by_key.get('reason', '')
    return _IN_TIME if reason in _OWN_FAULTS else f'refused: {reason}'


def _cause_of_late_stream(
    lines: list[log_explanation.LogLine], limits: Limits
) -> str:
    values = lines[-1].value_by_key
    first_ms = float(values.get('first_ms', 0.0))
    pause_ms = float(values.get('longest_pause_ms', 0.0))
    if first_ms <= limits.first_event_ms and pause_ms <= limits.pause_ms:
        return _IN_TIME
    for line in lines:
        cause = _CAUSE_BY_EVENT.get(line.event)
        if cause is not None:
            return f'late: {cause}'
    if first_ms > limits.first_event_ms:
        return 'late: first event, on its first path'
    return 'late: a pause, on its first path'
