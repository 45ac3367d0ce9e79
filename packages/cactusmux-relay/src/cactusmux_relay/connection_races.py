"""Tells targets that don't answer from a link of our own that is full.

A connection that isn't accepted in time says nothing by itself: what fills
our link holds up the packets to all targets alike. So second connections are
raced against connections to other targets, opened after them. Only one that
these overtake is its target's own failure.
"""

from collections.abc import Callable, Sequence

import gevent

from . import connection_probes
from . import targets

# By then a connection behind a large transfer is accepted, mostly.
RACE_TIMEOUT_S = 0.3
# What a connection may come in behind others that were opened after it.
OVERTAKE_MARGIN_S = 0.03

Connector = Callable[[targets.Target, float], connection_probes.ProbeResult]


def race_connections(
    connect: Connector,
    suspects: Sequence[targets.Target],
    references: Sequence[targets.Target],
) -> dict[str, connection_probes.ProbeResult]:
    """Connects to all at once; returns what that tells, by target id.

    A connection that was overtaken counts as unanswered. Of suspects that
    are left out nothing is known.
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
        for target_id in task_by_id.keys() - result_by_id.keys():
            result_by_id[target_id] = overtaken
    return result_by_id


def _await_response(reference_tasks: Sequence[gevent.Greenlet]) -> bool:
    """Waits for the first target that answers; whether one did.

    A refusal also shows that our link works.
    """
    for task in gevent.iwait(reference_tasks):
        result = task.value
        if (
            result
            and result.outcome is not connection_probes.Outcome.UNANSWERED
        ):
            return True
    return False
