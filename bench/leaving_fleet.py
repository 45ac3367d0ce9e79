"""Instances in one process that exchange gossip of leaving targets."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import leaving_watch
from cactusmux_fakes import memory_peers
from cactusmux_peers import peer_service

SETTLE_S = 30.0
POLL_S = 0.05


class LeavingFleet:
    """Peer services on an in-memory network, with a leaving watch each."""

    def __init__(self, instances: int, seed: int, loss: float) -> None:
        self.clock = timers.ManualTimers()
        network = memory_peers.MemoryNetwork(random.Random(seed))
        self.watches: list[leaving_watch.LeavingWatch] = []
        for number in range(instances):
            metric = metrics.MemoryMetrics()
            address = f'p-{number}'
            service = peer_service.PeerService(
                peer_service.PeerSettings(
                    address, 'r', f'r-{number % 3}', ('p-0',)
                ),
                memory_peers.MemoryTransport(network, address),
                self.clock,
                metric,
                rng=random.Random(f'{seed}/{number}'),
                instance_id=f'i-{number}',
            )
            service.start()
            self.watches.append(
                leaving_watch.LeavingWatch(
                    self.clock,
                    metric,
                    service.soft_state.mark_target_leaving,
                    service.soft_state.leaving_targets,
                )
            )
        self.clock.advance(SETTLE_S)
        network.loss = loss

    def last_work_s(
        self, address: str, number: int, source: leaving_watch.Source
    ) -> float:
        """Returns after how long all instances know a sign seen by one."""
        started_at = self.clock.now()
        self.watches[number].record_sign(address, source)
        while not all(w.is_leaving(address) for w in self.watches):
            self.clock.advance(POLL_S)
        return self.clock.now() - started_at
