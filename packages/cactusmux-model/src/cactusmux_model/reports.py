"""Tables, JSON and plots of experiments."""

from collections.abc import Sequence
import pathlib
import statistics

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402
import msgspec  # noqa: E402

from . import experiments  # noqa: E402

SIZE_INCHES = (6.0, 3.0)
HEADINGS = (
    'policy',
    'asked',
    'in aim',
    'late',
    'refused',
    'broken',
    'again',
    'worth',
    'gain',
    'p50 ms',
    'p99 ms',
)
COLUMN = '{:>13}'
JSON_NAME = 'experiment.json'
PLOT_NAME = 'experiment.png'


def table(compared: Sequence[experiments.Compared]) -> str:
    """Returns means over the seeds, one line for each policy."""
    lines = [''.join(COLUMN.format(heading) for heading in HEADINGS)]
    for each in compared:
        shares = [
            _mean(each, 'in_aim'),
            _mean(each, 'late'),
            _mean(each, 'refused'),
            _mean(each, 'broken'),
            _mean(each, 'refused_twice'),
            _mean(each, 'worth'),
        ]
        cells = [each.policy, f'{_mean(each, "asked"):.0f}']
        cells.extend(f'{share:.3f}' for share in shares)
        cells.append(f'{each.gain:+.3f}±{each.gain_error:.3f}')
        cells.append(f'{_mean(each, "first_p50_ms"):.0f}')
        cells.append(f'{_mean(each, "first_p99_ms"):.0f}')
        lines.append(''.join(COLUMN.format(cell) for cell in cells))
    return '\n'.join(lines)


def write(
    compared: Sequence[experiments.Compared], folder: pathlib.Path
) -> None:
    """Writes all results as JSON and a plot of the shares by policy."""
    folder.mkdir(parents=True, exist_ok=True)
    summaries_by_policy = {
        each.policy: [summary._asdict() for summary in each.summaries]
        for each in compared
    }
    encoded = msgspec.json.format(
        msgspec.json.encode(summaries_by_policy), indent=2
    )
    (folder / JSON_NAME).write_bytes(encoded)
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    names = [each.policy for each in compared]
    bottoms = [0.0] * len(compared)
    for share in ('in_aim', 'late', 'refused', 'broken'):
        heights = [_mean(each, share) for each in compared]
        axes.bar(names, heights, bottom=bottoms, label=share.replace('_', ' '))
        bottoms = [
            bottom_height + height
            for bottom_height, height in zip(bottoms, heights, strict=True)
        ]
    axes.set_ylabel('share of requests')
    axes.legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(folder / PLOT_NAME)
    pyplot.close(figure)


def _mean(each: experiments.Compared, name: str) -> float:
    return statistics.fmean(
        getattr(summary, name) for summary in each.summaries
    )
