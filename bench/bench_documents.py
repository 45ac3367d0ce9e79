"""Measures how soon documents are in force, and the load on the store.

Run as ``python -m bench.bench_documents``. Times are measured with real
timers over real sockets to a fake store that fails while a document changes.
Rates are counted on a manual clock.
"""

import math
import random
import statistics
import time

from absl import logging
from cactusmux_control import validation
from cactusmux_fakes import sample_documents
import gevent

from . import document_fleet
from . import document_rates
from . import figures

COMMAND = 'python -m bench.bench_documents'
PART = 'documents'
ROUNDS = 4
INSTANCES = 12
ZONES = 3
START_S = 4.0
OUTAGE_S = 4.0
ROUND_LIMIT_S = 20.0
ORGANISATIONS = 260
CHECKS = 50
STORE_READS_PER_S = 2000
DAEMONS = 360


def main() -> None:
    """Measures and records all figures of this part."""
    logging.set_verbosity(logging.FATAL)
    found = [*_measure_in_force(), *_measure_rates(), _measure_check()]
    figures.record(PART, found)
    for figure in found:
        verdict = '' if figures.is_met(figure) else '  MISSED'
        print(f'{figure.name:42} {figure.value:10.4g} {figure.unit}{verdict}')


def _measure_in_force() -> list[figures.Figure]:
    """Runs one fleet for each type of store failure, concurrently."""
    runs = [gevent.spawn(_run_fleet, name) for name in document_fleet.OUTAGES]
    gevent.joinall(runs, raise_error=True)
    reverts = sum(run.value.reverts for run in runs)
    all_times_s: list[float] = []
    for name, run in zip(document_fleet.OUTAGES, runs, strict=True):
        times_s = run.value.times_s
        print(f'{name:20} n={len(times_s):3} max={max(times_s):.2f} s')
        all_times_s.extend(times_s)
    return [
        _figure(
            'document_in_force_p50_s', statistics.median(all_times_s), 's'
        ),
        _figure(
            'document_in_force_p99_s',
            _percentile(all_times_s, 0.99),
            's',
            '<= 15',
        ),
        _figure('document_reverts', reverts, 'documents', '== 0'),
    ]


def _run_fleet(name: str) -> document_fleet.Outcome:
    fleet = document_fleet.Fleet(INSTANCES, ZONES, random.Random(name))
    fleet.start()
    gevent.sleep(START_S)
    for _ in range(ROUNDS):
        fleet.change(document_fleet.OUTAGES[name], OUTAGE_S, ROUND_LIMIT_S)
    outcome = fleet.outcome()
    fleet.stop()
    return outcome


def _measure_rates() -> list[figures.Figure]:
    measured = [document_rates.measure(size) for size in document_rates.SIZES]
    found: list[figures.Figure] = []
    for rates in measured:
        found += [
            _figure(
                f'store_reads_per_s_at_{rates.size}',
                rates.reads_per_s,
                'documents reads/s',
                f'<= {STORE_READS_PER_S}' if rates.size == DAEMONS else '',
            ),
            _figure(
                f'store_waiting_watches_at_{rates.size}',
                rates.watchers,
                'documents watches',
                f'<= {STORE_READS_PER_S}' if rates.size == DAEMONS else '',
            ),
        ]
    small = next(r for r in measured if r.size >= document_rates.ZONES * 2)
    large = measured[-1]
    growth_exponent = math.log(
        large.reads_per_s / small.reads_per_s
    ) / math.log(large.size / small.size)
    # An exponent of 1 means that rates grow as fast as the fleet; they have
    # to grow more slowly.
    return [
        *found,
        _figure('store_reads_growth_exponent', growth_exponent, '', '<= 0.99'),
    ]


def _measure_check() -> figures.Figure:
    """Times the validation of a document with all organisations."""
    text = sample_documents.document_text('v1', organisations=ORGANISATIONS)
    started = time.process_time()
    for _ in range(CHECKS):
        validation.check_document(text).unwrap()
    seconds = (time.process_time() - started) / CHECKS
    return _figure('document_check_ms', seconds * 1000.0, 'ms')


def _percentile(values: list[float], fraction: float) -> float:
    ranked = sorted(values)
    return ranked[math.ceil(fraction * len(ranked)) - 1]


def _figure(
    name: str, value: float, unit: str, target: str = ''
) -> figures.Figure:
    return figures.Figure(name, round(value, 4), unit, target, COMMAND)


if __name__ == '__main__':
    main()
