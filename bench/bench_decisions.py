"""Measures the decision functions in isolation; run as a module.

``python -m bench.bench_decisions`` takes under a minute; ``--long`` adds
more fleets and policies. A run compares policies one after the other on
the same fleet.
"""

from collections.abc import Sequence
import sys

from absl import logging

from . import decision_figures
from . import decision_plots
from . import decision_pool
from . import decision_routes
from . import figures
from . import storm_model


def main() -> None:
    """Measures all figures and records them as part ``decisions``."""
    logging.set_verbosity(logging.ERROR)
    long = '--long' in sys.argv[1:]
    made = [
        *decision_routes.measure_throughput(long),
        *decision_routes.measure_decision(),
        *decision_pool.measure_shares(),
        *decision_pool.measure_overload(),
        *_measure_storm((1, 2)),
        *decision_routes.measure_mass_failure(),
        *decision_pool.measure_fair_share_cost(),
    ]
    figures.record('decisions', made)
    for figure in made:
        met = '' if figures.is_met(figure) else '  MISSED'
        print(
            f'{figure.name:34} {figure.value:10.3f} {figure.unit:12}'
            f'{figure.target}{met}'
        )


def _measure_storm(seeds: Sequence[int]) -> list[figures.Figure]:
    limited = [storm_model.StormModel(True, s).run(50.0) for s in seeds]
    naive = storm_model.StormModel(False, seeds[0]).run(50.0)
    decision_plots.plot_storm(
        limited[0].goodput_by_second, naive.goodput_by_second
    )
    returns = [outcome.return_s() for outcome in limited]
    return [
        decision_figures.figure(
            'retry_storm_return_s', max(returns), 's', '<= 5'
        ),
        decision_figures.figure(
            'retry_storm_return_naive_s', naive.return_s(), 's at least'
        ),
        decision_figures.figure(
            'retry_storm_attempts_to_naive',
            limited[0].attempts / naive.attempts,
            'ratio',
        ),
    ]


if __name__ == '__main__':
    main()
