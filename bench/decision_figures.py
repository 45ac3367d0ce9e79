"""What the measurements of decisions have in common."""

from collections.abc import Callable, Sequence
import gc
import time

from . import figures

COMMAND = 'python -m bench.bench_decisions'


def figure(
    name: str, value: float, unit: str, target: str = ''
) -> figures.Figure:
    """Makes a figure of this bench."""
    return figures.Figure(name, round(value, 4), unit, target, COMMAND)


def cpu_s(work: Callable[[], object]) -> float:
    """Returns the processor time that some work takes, in seconds."""
    gc.collect()
    began = time.process_time()
    work()
    return time.process_time() - began


def mean(values: Sequence[float]) -> float:
    """Returns the arithmetic mean."""
    return sum(values) / len(values)
