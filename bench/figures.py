"""Records measured figures in one file per part, and merges the parts."""

from collections.abc import Sequence
import json
import pathlib
from typing import NamedTuple

BENCH_FOLDER = pathlib.Path(__file__).parent
PARTS_FOLDER = BENCH_FOLDER / 'parts'
RESULTS_FILE = BENCH_FOLDER / 'results.json'


class Figure(NamedTuple):
    """A measured value with the command that measures it.

    ``target`` is a bound such as ``<= 0.25``, derived from the users'
    requirements; it is empty for a figure without one.
    """

    name: str
    value: float
    unit: str
    target: str
    command: str


def record(part: str, figures: Sequence[Figure]) -> None:
    """Writes a part's figures and merges all parts to ``results.json``."""
    PARTS_FOLDER.mkdir(exist_ok=True)
    part_file = PARTS_FOLDER / f'{part}.json'
    _write(part_file, {figure.name: _to_json(figure) for figure in figures})
    join()


def join() -> None:
    """Merges the figures of all parts to ``results.json``."""
    figure_by_name: dict[str, object] = {}
    for part_file in sorted(PARTS_FOLDER.glob('*.json')):
        figure_by_name.update(json.loads(part_file.read_text()))
    _write(RESULTS_FILE, {'figures': figure_by_name})


def is_met(figure: Figure) -> bool:
    """Returns whether the value meets its target, or has no target."""
    if not figure.target:
        return True
    relation, bound = figure.target.split()
    if relation == '<=':
        return figure.value <= float(bound)
    if relation == '>=':
        return figure.value >= float(bound)
    return figure.value == float(bound)


def _to_json(figure: Figure) -> dict[str, object]:
    fields = figure._asdict()
    del fields['name']
    return fields


def _write(path: pathlib.Path, content: object) -> None:
    path.write_text(json.dumps(content, indent=2, sort_keys=True) + '\n')
