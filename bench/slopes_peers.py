"""Measures control work by fleet size, with processes on loopback gRPC.

Run as ``python -m bench.slopes_peers``. Starts 64 daemons and a host of
synthetic targets, and measures at 8, 16, 32 and 64 daemons, with targets and
organisations in the proportion of the target size; a line is fitted and
extrapolated to 360 daemons.
"""

from collections.abc import Sequence
import json
import pathlib
import socket
import subprocess
import sys
import threading
import time
from typing import Any, NamedTuple

import numpy

from . import figures

SIZES = (8, 16, 32, 64)
TARGET_DAEMONS = 360
TARGET_SERVERS = 1600
TARGET_ORGANISATIONS = 260
REGIONS = 4
ZONES = 13
SETTLE_S = 12.0
WINDOW_S = 10.0
# HTTP/2 frames and gRPC headers of one call in both directions, counted
# between two transports; then the IP and TCP headers of its four segments.
FRAMING_BYTES_PER_CALL = 122
SEGMENT_BYTES_PER_CALL = 4 * 52
# A poll opens a connection: ten segments besides request and response.
SEGMENT_BYTES_PER_POLL = 10 * 52
RAW_FILE = figures.PARTS_FOLDER / 'slopes_peers_raw.txt'
COMMAND = 'python -m bench.slopes_peers'

Sample = dict[str, Any]


class Slope(NamedTuple):
    """A fitted line, with its value and standard error at target size."""

    per_daemon: float
    at_zero: float
    at_target: float
    error: float


class Child:
    """A child process that reads and writes JSON lines."""

    def __init__(self, module: str, argument: str) -> None:
        self._process = subprocess.Popen(  # noqa: S603
            [sys.executable, '-m', module, argument],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=pathlib.Path(__file__).parent.parent,
        )
        assert self._process.stdout is not None
        self.first = json.loads(self._process.stdout.readline())
        self.samples: list[Sample] = []
        threading.Thread(target=self._read, daemon=True).start()

    def send(self, command: object) -> None:
        """Sends a command to the process."""
        assert self._process.stdin is not None
        self._process.stdin.write(json.dumps(command) + '\n')
        self._process.stdin.flush()

    def stop(self) -> None:
        """Kills the process."""
        self._process.kill()
        self._process.wait()

    def _read(self) -> None:
        assert self._process.stdout is not None
        for line in self._process.stdout:
            self.samples.append(json.loads(line))


class Fleet:
    """The daemons started so far, and the targets that they poll."""

    def __init__(self) -> None:
        count = SIZES[-1] * TARGET_SERVERS // TARGET_DAEMONS
        self._host = Child('bench.report_host', str(count))
        self.poll_bytes = _measure_poll(self._host.first[0])
        self.daemons: list[Child] = []

    def grow(self, size: int) -> None:
        """Starts daemons up to ``size`` and sends each its work."""
        while len(self.daemons) < size:
            self._start_daemon()
        count = size * TARGET_SERVERS // TARGET_DAEMONS
        work = {
            'targets': [
                (address, f'region-{place % REGIONS}', f'zone-{place}')
                for place, address in (
                    (number % ZONES, address)
                    for number, address in enumerate(self._host.first[:count])
                )
            ],
            'organisations': [
                (f'service-{number % 2}', f'organisation-{number}')
                for number in range(
                    size * TARGET_ORGANISATIONS // TARGET_DAEMONS
                )
            ],
        }
        for daemon in self.daemons:
            daemon.send(work)

    def stop(self) -> None:
        """Kills all processes."""
        for child in (*self.daemons, self._host):
            child.stop()

    def _start_daemon(self) -> None:
        number = len(self.daemons)
        place = number % ZONES
        config = {
            'number': number,
            'region': f'region-{place % REGIONS}',
            'zone': f'zone-{place}',
            'seeds': [daemon.first['address'] for daemon in self.daemons[:3]],
        }
        self.daemons.append(Child('bench.peer_daemon', json.dumps(config)))


def _measure_poll(address: str) -> int:
    """Returns the size of a poll's request and response, in bytes."""
    host, _, port = address.rpartition(':')
    request = (
        f'GET /v1/report HTTP/1.1\r\nUser-Agent: python/gevent-http-client\r\n'
        f'Host: {address}\r\nConnection: close\r\n\r\n'
    ).encode()
    size = len(request)
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(request)
        while data := connection.recv(65536):
            size += len(data)
    return size


def _rate(window: Sequence[Sample], key: str) -> float:
    first, last = window[0], window[-1]
    return (last[key] - first[key]) / (last['at'] - first['at'])


def _measure(fleet: Fleet) -> dict[str, float]:
    """Returns the means over all daemons in one window."""
    starts = [len(daemon.samples) for daemon in fleet.daemons]
    time.sleep(WINDOW_S)
    windows = [
        list(daemon.samples[start:])
        for daemon, start in zip(fleet.daemons, starts, strict=True)
    ]

    def mean(values: list[float]) -> float:
        return float(numpy.mean(values))

    calls = mean([_rate(window, 'calls') for window in windows])
    polls = mean([_rate(window, 'polls') for window in windows])
    payload = mean([_rate(window, 'payload_bytes') for window in windows])
    overhead = FRAMING_BYTES_PER_CALL + SEGMENT_BYTES_PER_CALL
    poll_bytes = fleet.poll_bytes + SEGMENT_BYTES_PER_POLL
    last = [window[-1] for window in windows]
    return {
        'cpu_fraction': mean([_rate(window, 'cpu_s') for window in windows]),
        'bytes_per_s': payload + calls * overhead + polls * poll_bytes,
        'payload_bytes_per_s': payload,
        'calls_per_s': calls,
        'polls_per_s': polls,
        'rss_mb': mean([sample['rss_mb'] for sample in last]),
        'live': mean([sample['live'] for sample in last]),
        'reports': mean([sample['reports'] for sample in last]),
        'age_p50_s': mean([sample['age_p50_s'] for sample in last]),
        'age_max_s': max(sample['age_max_s'] for sample in last),
        'demand_zones': mean([sample['demand_zones'] for sample in last]),
    }


def fit(sizes: Sequence[int], values: Sequence[float]) -> Slope:
    """Fits a line and extrapolates it, with standard error, to 360."""
    coefficients, covariance = numpy.polyfit(sizes, values, 1, cov='unscaled')
    residuals = numpy.polyval(coefficients, sizes) - values
    variance = float(numpy.sum(residuals**2)) / (len(sizes) - 2)
    at_target_size = numpy.array([TARGET_DAEMONS, 1.0])
    error = float(
        numpy.sqrt(variance * (at_target_size @ covariance @ at_target_size))
    )
    at_target = float(numpy.polyval(coefficients, TARGET_DAEMONS))
    return Slope(
        float(coefficients[0]), float(coefficients[1]), at_target, error
    )


def _write_raw(row_by_size: dict[int, dict[str, float]]) -> None:
    names = list(next(iter(row_by_size.values())))
    lines = ['daemons\t' + '\t'.join(names)]
    for size, row in row_by_size.items():
        cells = [f'{row[name]:.5g}' for name in names]
        lines.append('\t'.join([str(size), *cells]))
    for name in ('cpu_fraction', 'bytes_per_s', 'rss_mb'):
        line = fit(
            list(row_by_size), [row[name] for row in row_by_size.values()]
        )
        lines.append(
            f'# {name}: {line.at_zero:.5g} + {line.per_daemon:.5g} n; '
            f'at {TARGET_DAEMONS}: {line.at_target:.5g} +- {line.error:.2g}'
        )
    RAW_FILE.write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines))


def main() -> None:
    """Measures, fits, and records the figures."""
    fleet = Fleet()
    row_by_size: dict[int, dict[str, float]] = {}
    try:
        for size in SIZES:
            fleet.grow(size)
            time.sleep(SETTLE_S)
            row_by_size[size] = _measure(fleet)
            print(size, row_by_size[size], flush=True)
    finally:
        fleet.stop()
    _write_raw(row_by_size)

    def figure(name: str, key: str, unit: str, target: str) -> figures.Figure:
        values = [row[key] for row in row_by_size.values()]
        value = fit(list(row_by_size), values).at_target
        return figures.Figure(name, value, unit, target, COMMAND)

    figures.record(
        'slopes_peers',
        [
            figure(
                'control_cpu_fraction_at_360',
                'cpu_fraction',
                'cores',
                '<= 0.015',
            ),
            figure(
                'control_bytes_per_s_at_360',
                'bytes_per_s',
                'bytes/s',
                '<= 29000',
            ),
            figure('rss_mb_at_360', 'rss_mb', 'MB', '<= 128'),
        ],
    )


if __name__ == '__main__':
    main()
