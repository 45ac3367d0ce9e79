"""Plots of the decision figures."""

from collections.abc import Mapping, Sequence
import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

FOLDER = pathlib.Path(__file__).parent
SIZE_INCHES = (5.0, 3.0)


def plot_throughput(ratios_by_policy: Mapping[str, Sequence[float]]) -> None:
    """Plots the ratio of throughput to its bound, by policy and fleet."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    width = 0.8 / len(ratios_by_policy)
    for index, (name, ratios) in enumerate(ratios_by_policy.items()):
        positions = [i + index * width for i in range(len(ratios))]
        axes.bar(positions, ratios, width, label=name)
    axes.axhline(1.0, color='black', linewidth=0.5)
    axes.set_xlabel('synthetic fleet')
    axes.set_ylabel('throughput to bound')
    axes.legend(fontsize='small')
    _save(figure, 'throughput.png')


def plot_overload(
    loads: Sequence[float], worth: Sequence[float], bound: Sequence[float]
) -> None:
    """Plots goodput by worth and its upper bound over the load."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    axes.plot(loads, bound, '--', label='bound')
    axes.plot(loads, worth, 'o-', label='served')
    axes.set_xlabel('load, to capacity')
    axes.set_ylabel('worth a second')
    axes.legend(fontsize='small')
    _save(figure, 'overload.png')


def plot_storm(limited: Sequence[float], naive: Sequence[float]) -> None:
    """Plots goodput while half of the targets fail from 20 s to 30 s."""
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    axes.axvspan(20, 30, alpha=0.15)
    axes.plot(limited, label='limited')
    axes.plot(naive, label='naive retries')
    axes.set_xlabel('s')
    axes.set_ylabel('requests completed a second')
    axes.legend(fontsize='small')
    _save(figure, 'retry_storm.png')


def _save(figure: pyplot.Figure, name: str) -> None:
    figure.tight_layout()
    figure.savefig(FOLDER / name, dpi=72, metadata={'Software': None})
    pyplot.close(figure)
