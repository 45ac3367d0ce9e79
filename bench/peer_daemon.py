"""Runs one daemon's control work in a process, for slopes_peers.

Reads commands as JSON lines and writes a line of counters every second.
"""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
import random  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from typing import NamedTuple  # noqa: E402

from absl import logging  # noqa: E402
from cactusmux_base import metrics  # noqa: E402
from cactusmux_base import timers  # noqa: E402
from cactusmux_peers import assignments  # noqa: E402
from cactusmux_peers import grpc_transport  # noqa: E402
from cactusmux_peers import peer_service  # noqa: E402
from cactusmux_peers import polling  # noqa: E402
from cactusmux_peers import soft_state  # noqa: E402
from cactusmux_peers import transport  # noqa: E402
from cactusmux_platform import http_targets  # noqa: E402
from cactusmux_platform import instances  # noqa: E402
from cactusmux_platform import targets  # noqa: E402
import gevent  # noqa: E402
import psutil  # noqa: E402
from returns import result  # noqa: E402

REQUESTS_PER_S = 17.0
# Channels stay open for hours in production, so the daemon opens all of them
# before the measurement.
CHANNEL_OPEN_INTERVAL_S = 0.1
DEMAND_PERIOD_S = 1.0
DEMAND_WINDOW_S = 5.0


class Config(NamedTuple):
    """The place of this daemon; ``seeds`` are peer addresses."""

    number: int
    region: str
    zone: str
    seeds: list[str]


class CountingTransport(transport.PeerTransport):
    """Counts calls and payload bytes in both directions."""

    def __init__(self, inner: transport.PeerTransport) -> None:
        self.payload_bytes = 0
        self.calls = 0
        self.bytes_by_method: dict[str, int] = {}
        self._inner = inner

    @property
    def address(self) -> str:
        return self._inner.address

    def call(
        self,
        peer_address: str,
        method: transport.Method,
        request: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, transport.PeerError]:
        answer = self._inner.call(peer_address, method, request, timeout_s)
        self._count(method, request, answer.value_or(b''))
        return answer

    def serve(self, handler: transport.Handler) -> None:
        def counted(method: transport.Method, request: bytes) -> bytes:
            answer = handler(method, request)
            self._count(method, request, answer)
            return answer

        self._inner.serve(counted)

    def forget(self, peer_address: str) -> None:
        self._inner.forget(peer_address)

    def close(self) -> None:
        self._inner.close()

    def _count(
        self, method: transport.Method, request: bytes, answer: bytes
    ) -> None:
        size = len(request) + len(answer)
        self.calls += 1
        self.payload_bytes += size
        known = self.bytes_by_method.get(method, 0)
        self.bytes_by_method[method] = known + size


class CountingClient(http_targets.HttpTargetClient):
    """Counts polls."""

    polls = 0

    def report(
        self, address: str
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        self.polls += 1
        return super().report(address)


class Daemon:
    """The peer service and target poller, with synthetic demand."""

    def __init__(self, config: Config) -> None:
        counters = metrics.MemoryMetrics()
        self._rng = random.Random(config.number)
        self._timer = timers.GeventTimers()
        self._counters = counters
        self._peers = CountingTransport(
            grpc_transport.GrpcTransport('127.0.0.1:0', counters)
        )
        self._service = peer_service.PeerService(
            peer_service.PeerSettings(
                f'127.0.0.1:{config.number}',
                config.region,
                config.zone,
                tuple(config.seeds),
            ),
            self._peers,
            self._timer,
            counters,
        )
        self._targets: tuple[instances.ListedInstance, ...] = ()
        self._organisations: list[soft_state.DemandKey] = []
        self._client = CountingClient()
        self._opened_channels: set[str] = {self._peers.address}
        self._poller = polling.TargetPoller(
            assignments.JobAssignments(self._service.view),
            self._service.soft_state,
            self._client,
            lambda: self._targets,
            self._timer,
            counters,
        )

    def run(self) -> None:
        """Runs until the end of the command stream."""
        self._service.start()
        self._poller.start()
        self._timer.every(DEMAND_PERIOD_S, self._publish_demand)
        self._timer.every(1.0, self._write_counters)
        _write({'address': self._peers.address})
        threadpool = gevent.get_hub().threadpool
        while line := threadpool.apply(sys.stdin.readline):
            self._apply_command(json.loads(line))
            self._timer.after(3.0, self._open_channels)

    def _apply_command(self, command: dict[str, list[list[str]]]) -> None:
        self._targets = tuple(
            instances.ListedInstance(
                address, instances.Role.ENGINE, region, zone
            )
            for address, region, zone in command['targets']
        )
        self._organisations = [
            soft_state.DemandKey(service, organisation)
            for service, organisation in command['organisations']
        ]

    def _open_channels(self) -> None:
        """Opens the missing channels to peers."""
        for member in self._service.view.live():
            if member.peer_address in self._opened_channels:
                continue
            self._opened_channels.add(member.peer_address)
            self._service.fetch_document(member.peer_address, 'none')
            self._timer.sleep(CHANNEL_OPEN_INTERVAL_S)

    def _publish_demand(self) -> None:
        """Publishes the rates of synthetic requests, skewed by customer."""
        if not self._organisations:
            return
        count = round(REQUESTS_PER_S * DEMAND_WINDOW_S)
        weights = [1 / (1 + rank) for rank in range(len(self._organisations))]
        rates: dict[soft_state.DemandKey, float] = {}
        for key in self._rng.choices(self._organisations, weights, k=count):
            rates[key] = rates.get(key, 0.0) + 1.0 / DEMAND_WINDOW_S
        self._service.soft_state.publish_demand(rates)

    def _write_counters(self) -> None:
        state = self._service.soft_state
        ages = sorted(
            aged.age_s for aged in state.report_by_address().values()
        )
        _write(
            {
                'at': time.monotonic(),
                'cpu_s': time.process_time(),
                'rss_mb': psutil.Process().memory_info().rss / 1e6,
                'calls': self._peers.calls,
                'payload_bytes': self._peers.payload_bytes,
                'bytes_by_method': self._peers.bytes_by_method,
                'polls': self._client.polls,
                'live': len(self._service.view.live()),
                'reports': len(ages),
                'age_p50_s': ages[len(ages) // 2] if ages else 0.0,
                'age_max_s': ages[-1] if ages else 0.0,
                'demand_zones': len(state.demand()),
                'counters': dict(self._counters.counter_by_name),
            }
        )


def _write(fields: dict[str, object]) -> None:
    print(json.dumps(fields), flush=True)


def main() -> None:
    """Runs one daemon with the configuration in the first argument."""
    logging.set_verbosity(logging.ERROR)
    grpc_transport.use_gevent()
    Daemon(Config(**json.loads(sys.argv[1]))).run()


if __name__ == '__main__':
    main()
