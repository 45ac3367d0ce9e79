"""Explains from logs what happened to a request."""

from collections.abc import Iterable
import datetime
import re
from typing import NamedTuple

from cactusmux_base import events

# Lines about the request's targets and the instance's state are shown from
# this long before its first line until this long after its last line.
BEFORE_S = 5.0
AFTER_S = 1.0
MAX_RELATED_LINES = 40

_LINE = re.compile(
    r'(?P<level>[IWEF])(?P<day>\d{4}) (?P<time>\d\d:\d\d:\d\d\.\d+)'
    r'.*? (?P<fields>event=.*)'
)
_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S+)')
_DAY_S = 86400.0

# Events that change the state of an instance, independent of requests.
_STATE_EVENTS = frozenset(
    (
        'configuration_in_force',
        'copy_taken',
        'lease_gained',
        'lease_lost',
        'placement_changed',
        'stop_begun',
        'store_lost',
        'store_regained',
        'watch_missed_change',
    )
)

# Events that set, change or end a condition of a target that may have begun
# long before the request.
_LASTING_EVENTS = frozenset(
    (
        'target_rate_limited',
        'target_rate_limit_changed',
        'target_rate_limit_ended',
    )
)

_CAUSE_BY_REASON = {
    'no_configuration': 'the instance knew no desired state yet',
    'stopping': 'the instance was being stopped and took no new work',
    'malformed': 'a header of the request could not be understood',
    'no_route': 'no route of the version in force fits its host and path',
    'unknown_key': 'its key belongs to no organisation in that version',
    'no_target': 'no target of the service could take it',
    'no_room': 'no path had room, or all would have been too slow',
    'rejected': 'the targets asked said that they did not run it',
    'target_failed': 'the target failed and no further attempt was allowed',
    'timed_out': "the caller's or the route's time was over",
    'repeats_spent': 'the budget of repeats was spent',
    'quarantined': 'it, or a part of its prompt, has ended several targets',
    'rate_limited': 'the targets that could take it have named rate limits',
    'memory_limit': 'callers held as much memory as they may',
}

_CAUSE_BY_END = {
    'aborted': 'its response was closed midway on purpose',
    'body_cut': 'the caller closed its connection within its body',
    'body_timeout': 'its body did not arrive whole in time',
    'caller_disconnected': 'the caller closed its connection',
    'caller_stalled': 'the caller read nothing of its response for too long',
    'caller_unreachable': 'the connection to the caller failed',
    'displaced': 'its connection made room for another one',
    'handler_failed': 'an exception that nobody foresaw',
    'memory_limit': 'callers held as much memory as they may',
    'response_invalid': 'its response would have broken the protocol',
    'response_unfinished': 'its handler left its response incomplete',
    'stopped': 'the instance was stopped before it had ended',
}


class LogLine(NamedTuple):
    """A line of an instance's log; ``at_s`` is seconds since midnight."""

    at_s: float
    event: str
    value_by_key: dict[str, str]


def parse(lines: Iterable[str]) -> list[LogLine]:
    """Returns the event lines; other lines are ignored."""
    found = []
    for line in lines:
        match = _LINE.search(line)
        if match is None:
            continue
        values = {
            key: value.strip('"')
            for key, value in _FIELD.findall(match['fields'])
        }
        at = datetime.time.fromisoformat(match['time'])
        at_s = (
            at.hour * 3600 + at.minute * 60 + at.second + at.microsecond / 1e6
        )
        found.append(LogLine(at_s, values.pop('event', ''), values))
    return found


def explain_request(request_id: str, lines: list[LogLine]) -> list[str]:
    """Returns a line for each step of a request; empty if unknown."""
    logged_id = request_id[: events.MAX_ID_CHARACTERS]
    request_lines = [
        each for each in lines if each.value_by_key.get('id') == logged_id
    ]
    if not request_lines:
        return []
    start = request_lines[0].at_s
    steps = [f'request {request_id}']
    steps.extend(_format(each, start) for each in request_lines)
    related = _find_related(request_lines, lines)
    if related:
        steps.append('what changed meanwhile')
        steps.extend(
            _format(each, start) for each in related[:MAX_RELATED_LINES]
        )
    steps.append(f'cause: {_explain_cause(request_lines)}')
    return steps


def _find_related(
    request_lines: list[LogLine], lines: list[LogLine]
) -> list[LogLine]:
    """Returns lines about the request's targets and the instance's state."""
    names = _values_of(request_lines, ('path', 'target', 'at_fault'))
    held = _values_of(request_lines, ('held',))
    parts = _values_of(request_lines, ('part',))
    found = []
    seen = set()
    for line in lines:
        since_s = _difference(line.at_s, request_lines[0].at_s)
        until_s = _difference(line.at_s, request_lines[-1].at_s)
        # A part may have been quarantined long before the request.
        is_of_part = line.value_by_key.get('part') in parts
        is_of_held = line.value_by_key.get('target') in held and (
            line.event in _LASTING_EVENTS
        )
        is_lasting = is_of_part or is_of_held
        is_before = since_s < -BEFORE_S and not is_lasting
        if is_before or until_s > AFTER_S:
            continue
        if 'id' in line.value_by_key:
            continue
        is_of_target = line.value_by_key.get('target') in names
        is_related = is_lasting or is_of_target
        if not is_related and line.event not in _STATE_EVENTS:
            continue
        content = (line.event, tuple(sorted(line.value_by_key.items())))
        if content not in seen:
            seen.add(content)
            found.append(line)
    return sorted(found, key=lambda each: each.at_s)


def _values_of(lines: list[LogLine], keys: tuple[str, ...]) -> set[str]:
    """Returns all values of the given fields, lists split."""
    values: set[str] = set()
    for line in lines:
        for key in keys:
            values.update(line.value_by_key.get(key, '').split(','))
    values.discard('')
    return values


def _explain_cause(request_lines: list[LogLine]) -> str:
    last = request_lines[-1]
    if last.event != 'request_ended':
        return _explain_outcome(request_lines)
    end = _explain_end(last)
    earlier = request_lines[:-1]
    is_explained = any(each.event == 'request_refused' for each in earlier)
    if is_explained:
        return f'{_explain_outcome(earlier)}; {end}'
    return end


def _explain_end(line: LogLine) -> str:
    """Explains an abnormal end by its cause and how far all had come."""
    values = line.value_by_key
    name = values.get('cause', '')
    cause = _CAUSE_BY_END.get(name, name)
    detail = values.get('detail', '')
    told = f'{cause} ({detail})' if detail else cause
    status = values.get('response_status', '0')
    if status == '0':
        return f'{told}; no response was begun'
    whole = 'all' if values.get('response_whole') == 'True' else 'not all'
    return (
        f'{told}; a response with status {status} was begun, '
        f'{values.get("response_bytes")} bytes of its body sent, {whole}'
    )


def _explain_outcome(request_lines: list[LogLine]) -> str:
    """Explains the outcome that the last line tells."""
    last = request_lines[-1]
    values = last.value_by_key
    if last.event == 'request_refused':
        return _explain_refusal(request_lines)
    if last.event == 'request_malformed':
        return f'malformed or too large: status {values.get("status")}'
    if last.event == 'stream_served':
        return (
            f'served after {values.get("sends")} sends: first event after '
            f'{values.get("first_ms")} ms, longest pause '
            f'{values.get("longest_pause_ms")} ms'
        )
    if last.event == 'failure_passed_on':
        status = values.get('status')
        return f'the last target asked answered with status {status} itself'
    if last.event == 'caller_gone':
        return 'the caller closed its connection'
    if last.event == 'plain_served':
        return f'answered with status {values.get("status")}'
    return (
        f'the log ends with {last.event}: the instance stopped or was killed'
    )


def _explain_refusal(request_lines: list[LogLine]) -> str:
    reason = request_lines[-1].value_by_key.get('reason', '')
    cause = _CAUSE_BY_REASON.get(reason, reason)
    broken = [each for each in request_lines if each.event == 'stream_broken']
    if not broken:
        return cause
    detail = broken[-1].value_by_key.get('detail', '')
    return f'{cause}; its stream broke: {detail}'


def _format(line: LogLine, start: float) -> str:
    fields = ' '.join(
        f'{key}={value}'
        for key, value in line.value_by_key.items()
        if key != 'id'
    )
    offset_s = _difference(line.at_s, start)
    return f'  {offset_s:+8.3f} s  {line.event} {fields}'


def _difference(at_s: float, other_s: float) -> float:
    """Returns the seconds between two times of day, across midnight, too."""
    difference = at_s - other_s
    if difference > _DAY_S / 2:
        return difference - _DAY_S
    if difference < -_DAY_S / 2:
        return difference + _DAY_S
    return difference
