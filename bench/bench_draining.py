"""Measures graceful shutdowns and leaving targets.

Run as ``python -m bench.bench_draining``. Callers use addresses for their
whole lifetime, over real sockets, while instances stop one after the other;
times are short so that many stops fit in. Gossip about leaving targets runs
over an in-memory network, on a manual clock.
"""

from collections.abc import Iterable
import random
import statistics
import time
from typing import Any

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import addresses
from cactusmux_entry import draining
from cactusmux_entry import leaving_watch
from cactusmux_peers import members
from cactusmux_platform import http_plain_services
from cactusmux_platform import plain_services
import gevent
from gevent import pywsgi
from returns import result

from . import figures
from . import leaving_fleet

COMMAND = 'python -m bench.bench_draining'
INSTANCES = 4
STOPS = 12
CALLERS = 40
LIFETIME_S = 0.5
MARGIN_S = 0.3
# Delay until the other instances learn of a stop.
NEWS_S = 0.15
LONGEST_STREAM_S = 1.0
ZONE = 'kz-central-a'
LEAVING_INSTANCES = 32
LEAVING_TARGETS = 24
LOSS = 0.1


class Instance:
    """An instance that streams responses."""

    def __init__(self, number: int, rng: random.Random) -> None:
        self.in_flight = 0
        self._rng = rng
        self.server = pywsgi.WSGIServer(
            ('127.0.0.1', 0), self._application, log=None, error_log=None
        )
        self.server.start()
        address = f'127.0.0.1:{self.server.server_port}'
        self.member = members.Member(
            f'i-{number}', address, address, 'kz-central', ZONE
        )
        self.drain = draining.Drain(
            timers.GeventTimers(),
            metrics.MemoryMetrics(),
            draining.DrainSettings(LIFETIME_S, MARGIN_S, limit_s=30.0),
            leave=[self._tell_peers],
            close=[],
            unfinished=[lambda: self.in_flight],
        )

    def stop(self) -> draining.Drained:
        """Drains and stops, as after SIGTERM."""
        drained = self.drain.run()
        self.server.stop(timeout=0)
        return drained

    def _tell_peers(self) -> None:
        gevent.spawn_later(NEWS_S, self._mark_leaving)

    def _mark_leaving(self) -> None:
        state = members.State.LEAVING
        self.member = self.member._replace(state=state)

    def _application(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        if not self.drain.serves:
            not_run = (plain_services.NOT_RUN_HEADER, 'leaving')
            start_response('503 Service Unavailable', [not_run])
            return []
        start_response('200 OK', [('Content-Type', 'text/plain')])
        return self._stream()

    def _stream(self) -> Iterable[bytes]:
        self.in_flight += 1
        try:
            step_s = self._rng.random() * LONGEST_STREAM_S / 5.0
            for _ in range(5):
                gevent.sleep(step_s)
                yield b'token\n'
        finally:
            self.in_flight -= 1


class Fleet:
    """Instances that are replaced, and callers that cache addresses."""

    def __init__(self) -> None:
        self.rng = random.Random(11)
        self.instances = [
            Instance(number, self.rng) for number in range(INSTANCES)
        ]
        self.completed = 0
        self.cut = 0
        self.refused = 0
        self.stopping = False

    def answer(self) -> addresses.AddressAnswer:
        """Returns the addresses that a running instance gives to callers."""
        choice = addresses.Addresses(
            lambda: [instance.member for instance in self.instances],
            lambda _: 0.0,
            self.rng,
            lifetime_s=LIFETIME_S,
        )
        place = addresses.Place(ZONE, 'kz-central')
        return choice.answer(place).unwrap()

    def run_caller(self) -> None:
        """Sends requests until ``stopping`` is set."""
        client = http_plain_services.HttpPlainServiceClient()
        call = plain_services.PlainCall('GET', '/', b'', '', 'r')
        answer, kept_until = self.answer(), time.monotonic() + LIFETIME_S
        while not self.stopping:
            if time.monotonic() >= kept_until:
                answer = self.answer()
                kept_until = time.monotonic() + LIFETIME_S
            address = answer.addresses[0]
            self._count(client.call(address, call, 10.0, once=True))

    def _count(
        self,
        answered: result.Result[
            plain_services.PlainResponse, plain_services.PlainError
        ],
    ) -> None:
        if isinstance(answered, result.Success):
            self.completed += 1
        elif isinstance(answered.failure(), plain_services.ServiceRefused):
            self.refused += 1
        else:
            self.cut += 1


def run_stops() -> tuple[Fleet, list[float]]:
    """Stops and replaces instances under load; returns the waits, in s."""
    fleet = Fleet()
    callers = [gevent.spawn(fleet.run_caller) for _ in range(CALLERS)]
    waits = []
    for number in range(STOPS):
        gevent.sleep(0.2)
        leaving = fleet.instances[0]
        fleet.instances.append(Instance(INSTANCES + number, fleet.rng))
        drained = leaving.stop()
        fleet.cut += drained.cut
        waits.append(drained.waited_s)
        fleet.instances.remove(leaving)
    fleet.stopping = True
    gevent.joinall(callers)
    return fleet, waits


def run_leaving() -> list[float]:
    """Returns for each target when the last instance stopped using it."""
    fleet = leaving_fleet.LeavingFleet(LEAVING_INSTANCES, seed=5, loss=LOSS)
    sources = list(leaving_watch.Source)
    return [
        fleet.last_work_s(
            f'10.0.1.{number}:80',
            number % LEAVING_INSTANCES,
            sources[number % len(sources)],
        )
        for number in range(LEAVING_TARGETS)
    ]


def main() -> None:
    """Runs both measurements, prints and records their figures."""
    fleet, waits = run_stops()
    last_work = run_leaving()
    values = [
        ('drain_cut_requests', fleet.cut, 'requests', '== 0'),
        ('drain_refused_requests', fleet.refused, 'requests', ''),
        ('drain_completed_requests', fleet.completed, 'requests', ''),
        ('drain_stops', STOPS, 'stops', ''),
        ('drain_wait_median_s', statistics.median(waits), 's', ''),
        ('leaving_target_last_work_s', max(last_work), 's', '<= 3'),
    ]
    recorded = [
        figures.Figure(name, round(float(value), 6), unit, target, COMMAND)
        for name, value, unit, target in values
    ]
    for figure in recorded:
        met = 'met' if figures.is_met(figure) else 'MISSED'
        print(figure.name, figure.value, figure.unit, figure.target, met)
    figures.record('draining', recorded)


if __name__ == '__main__':
    main()
