"""Distinguishes unreachable targets from a saturated link of this instance.

A connection that isn't accepted in time proves nothing by itself, because a
saturated link delays the packets to all targets alike. A second connection to
each suspected target therefore races against connections to other targets,
which are opened after it. The target is at fault only if one of these is
accepted first.
"""

from collections.abc import Callable, Sequence

import gevent

from . import connection_probes
from . import targets

# Within this time, a connection delayed by a large transfer is usually
# accepted.
RACE_TIMEOUT_S = 0.3
# How much later than a reference connection a suspected target may still
# accept without counting as overtaken.
OVERTAKE_MARGIN_S = 0.03

Connector = Callable[[targets.Target, float], connection_probes.ProbeResult]


def race_connections(
    connect: Connector,
    suspects: Sequence[targets.Target],
    references: Sequence[targets.Target],
) -> dict[str, connection_probes.ProbeResult]:
    """Connects to all targets at once; returns the results by target id.

    A suspected target that was overtaken counts as unanswered, unless this
    instance failed to send to it at all. Suspected targets without an entry
    in the result are inconclusive.
    """
    task_by_id = {
        each.id: gevent.spawn(
            connect, each, RACE_TIMEOUT_S + OVERTAKE_MARGIN_S
        )
        for each in suspects
    }
    reference_tasks = [
        gevent.spawn(connect, each, RACE_TIMEOUT_S) for each in references
    ]
    try:
        is_overtaken = _await_response(reference_tasks)
        gevent.joinall(
            list(task_by_id.values()),
            timeout=OVERTAKE_MARGIN_S if is_overtaken else None,
        )
        result_by_id = {
            target_id: task.value
            for target_id, task in task_by_id.items()
            if task.value is not None
        }
    finally:
        gevent.killall([*task_by_id.values(), *reference_tasks], block=False)
    not_tried_ids = {
        target_id
        for target_id, result in result_by_id.items()
        if result.is_local
    }
    result_by_id = {
        target_id: result
        for target_id, result in result_by_id.items()
        if result.outcome is not connection_probes.Outcome.UNANSWERED
    }
    if is_overtaken:
        overtaken = connection_probes.ProbeResult(
            connection_probes.Outcome.UNANSWERED,
            'overtaken by others',
            RACE_TIMEOUT_S,
        )
        overtaken_ids = task_by_id.keys() - result_by_id.keys()
        for target_id in overtaken_ids - not_tried_ids:
            result_by_id[target_id] = overtaken
    return result_by_id


def _await_response(reference_tasks: Sequence[gevent.Greenlet]) -> bool:
    """Waits for the first target that responds; returns whether one did.

    A refusal also proves that this instance's link works.
    """
    for task in gevent.iwait(reference_tasks):
        result = task.value
        if (
            result
            and result.outcome is not connection_probes.Outcome.UNANSWERED
        ):
            return True
    return False
