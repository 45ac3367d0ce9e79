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
RACE_S = 0.3
# What a connection may come in behind others that were opened after it.
HEAD_START_S = 0.03

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
    own_by_id = {
        each.id: gevent.spawn(connect, each, RACE_S + HEAD_START_S)
        for each in suspects
    }
    others = [gevent.spawn(connect, each, RACE_S) for each in references]
    try:
        is_overtaken = _await_answer(others)
        gevent.joinall(
            list(own_by_id.values()),
            timeout=HEAD_START_S if is_overtaken else None,
        )
        tried_by_id = {
            target_id: own.value
            for target_id, own in own_by_id.items()
            if own.value is not None
        }
    finally:
        gevent.killall([*own_by_id.values(), *others], block=False)
    found = {
        target_id: tried
        for target_id, tried in tried_by_id.items()
        if tried.outcome is not connection_probes.Outcome.UNANSWERED
    }
    if is_overtaken:
        overtaken = connection_probes.ProbeResult(
            connection_probes.Outcome.UNANSWERED, 'overtaken by others', RACE_S
        )
        for target_id in own_by_id.keys() - found.keys():
            found[target_id] = overtaken
    return found


def _await_answer(others: Sequence[gevent.Greenlet]) -> bool:
    """Waits for the first target that answers; whether one did.

    A refusal also shows that our link works.
    """
    for done in gevent.iwait(others):
        tried = done.value
        if tried and tried.outcome is not connection_probes.Outcome.UNANSWERED:
            return True
    return False
