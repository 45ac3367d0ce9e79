"""Runs steps of tasks that continue after unexpected exceptions."""

from collections.abc import Callable

from cactusmux_base import events
from cactusmux_base import timers

FAILURE_PAUSE_S = 0.5


def run_step(
    name: str, step: Callable[[], None], timer: timers.TimerService
) -> None:
    """Runs one step; an exception is logged and followed by a pause."""
    try:
        step()
    except Exception as error:
        events.error('task_failed', task=name, cause=repr(error))
        timer.sleep(FAILURE_PAUSE_S)
