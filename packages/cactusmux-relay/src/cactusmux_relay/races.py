"""Tells a target that doesn't answer from a link of our own that is full.

A connection that isn't accepted in time says nothing by itself: what fills
our link holds up the packets to all targets alike. So a second connection
is raced against connections to other targets, opened after it. Only one that
these overtake is the target's own failure.
"""

from collections.abc import Callable, Sequence

import gevent

from . import connects
from . import targets

# By then a connection behind a large transfer is accepted, mostly.
RACE_S = 0.3
# What a connection may come in behind others that were opened after it.
HEAD_START_S = 0.03

Connector = Callable[[targets.Target, float], connects.Connect]


def race(
    connect: Connector,
    suspected: targets.Target,
    references: Sequence[targets.Target],
) -> connects.Connect | None:
    """Connects to all at once; ``None`` if that tells nothing.

    A connection that was overtaken counts as timed out.
    """
    own = gevent.spawn(connect, suspected, RACE_S)
    others = [gevent.spawn(connect, each, RACE_S) for each in references]
    try:
        overtaken = _await_first(own, others)
        if overtaken:
            own.join(HEAD_START_S)
        tried = own.value if own.ready() else None
    finally:
        gevent.killall([own, *others], block=False)
    if tried is not None and tried.outcome is not connects.Outcome.TIMED_OUT:
        return tried
    if not overtaken:
        return None
    return connects.Connect(
        connects.Outcome.TIMED_OUT, 'overtaken by others', RACE_S
    )


def _await_first(
    own: gevent.Greenlet, others: Sequence[gevent.Greenlet]
) -> bool:
    """Waits until a connection tells something; whether it was another's."""
    for done in gevent.iwait([own, *others]):
        outcome = done.value.outcome if done.value else None
        if done is own:
            if outcome is not connects.Outcome.TIMED_OUT:
                return False
        elif outcome is connects.Outcome.ACCEPTED:
            return True
    return False
