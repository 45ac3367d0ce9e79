"""Helpers shared by the measurements of decisions."""

from collections.abc import Callable, Sequence
import gc
import time

from . import figures

COMMAND = 'python -m bench.bench_decisions'


def figure(
    name: str, value: float, unit: str, target: str = ''
) -> figures.Figure:
    """Creates a figure with the command of this benchmark."""
    return figures.Figure(name, round(value, 4), unit, target, COMMAND)


def cpu_s(work: Callable[[], object]) -> float:
    """Returns the processor time of a call, in seconds."""
    gc.collect()
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def mean(values: Sequence[float]) -> float:
    """Returns the arithmetic mean."""
    return sum(values) / len(values)
