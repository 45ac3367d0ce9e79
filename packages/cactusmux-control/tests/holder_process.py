"""A process that holds the order lease and orders one version.

test_paused_process.py starts it with the addresses of the store and an
engine. With ``hold`` it waits for a line on standard input between the
authority check and the send of its first order.
"""

import sys
from typing import Any

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_control import lease_types
from cactusmux_control import leases
from cactusmux_control import orders
from cactusmux_control import pool
from cactusmux_fakes import fixed_weights
from cactusmux_platform import http_store
from cactusmux_platform import http_targets
from cactusmux_platform import instances
from cactusmux_platform import targets
import gevent
from returns import result

SETTINGS = lease_types.LeaseSettings(
    ttl_s=1.0, margin_s=0.2, period_s=0.1, delivery_s=0.2
)


class DelayingClient(http_targets.HttpTargetClient):
    """Delays the first order until a line is read."""

    def __init__(self, hold: bool) -> None:
        self._hold = hold

    def send_order(self, address: str, order: targets.Order) -> Any:
        if not self._hold:
            return super().send_order(address, order)
        self._hold = False
        print('in hand', flush=True)
        sys.stdin.readline()
        outcome = super().send_order(address, order)
        accepted = isinstance(outcome, result.Success)
        print('taken' if accepted else outcome.failure().reason, flush=True)
        return outcome


def main(store: str, engine: str, version: str, hold: str) -> None:
    timer = timers.GeventTimers()
    metric = metrics.MemoryMetrics()
    client = DelayingClient(hold == 'hold')
    model = documents.Model(4, 4096, 500, version)
    in_force = documents.ServiceDocument(
        'art', documents.Pool(0.5), {'conditions': model}, {}, {}, {}
    )
    listed = instances.ListedInstance(
        engine, instances.Role.ENGINE, 'r1', 'z1', memory_mb=3000
    )
    configuration = http_store.HttpConfigStore(store, metric)
    lease = leases.LeaseHolder(
        configuration,
        timer,
        metric,
        leases.order_lease('r1'),
        version,
        SETTINGS,
    )
    dispatcher = orders.OrderDispatcher(
        configuration,
        timer,
        metric,
        client,
        fixed_weights.FixedWeightStore(10_000.0),
        orders.Sources(
            lease.authority,
            lambda: [in_force],
            lambda: [
                pool.KnownTarget(
                    listed, client.report(engine).value_or(None), 0.0
                )
            ],
        ),
        'r1',
        delivery_s=SETTINGS.delivery_s,
    )
    lease.start()
    while True:
        dispatcher.run_round()
        gevent.sleep(0.1)


if __name__ == '__main__':
    main(*sys.argv[1:])
