"""Many peer services in one process, on a memory network and fake clock."""

import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_peers import peer_service

from . import memory_peers


class Place(NamedTuple):
    """Where an instance is."""

    region: str = 'kz-central'
    zone: str = 'kz-1'


class Node(NamedTuple):
    """A running instance and the parts that faults are injected into."""

    service: peer_service.PeerService
    timer: memory_peers.PausableTimers
    metrics: metrics.MemoryMetrics
    address: str
    place: Place


class PeerFleet:
    """Starts, stops and crashes instances; a seed reproduces the run."""

    def __init__(self, seed: int = 0) -> None:
        self.clock = timers.ManualTimers()
        self.network = memory_peers.MemoryNetwork(random.Random(seed))
        self.node_by_address: dict[str, Node] = {}
        self.paused: set[str] = set()
        self.listed_addresses = [
            '10.0.0.1:7000',
            '10.0.0.2:7000',
            '10.0.0.3:7000',
        ]
        self._seed = seed
        self._starts = 0

    def start(self, number: int, place: Place = Place()) -> Node:  # noqa: B008
        """Starts instance ``number``; a restart reuses its address."""
        self._starts += 1
        address = f'10.0.{number // 250}.{number % 250 + 1}:7000'
        timer = memory_peers.PausableTimers(self.clock)
        counters = metrics.MemoryMetrics()
        service = peer_service.PeerService(
            peer_service.PeerSettings(
                address.replace(':7000', ':8080'),
                place.region,
                place.zone,
            ),
            memory_peers.MemoryTransport(self.network, address),
            timer,
            counters,
            list_addresses=lambda: self.listed_addresses,
            rng=random.Random(f'{self._seed} {self._starts}'),
            instance_id=f'{self._starts:04d}-{number}',
        )
        node = Node(service, timer, counters, address, place)
        self.node_by_address[address] = node
        service.start()
        return node

    def start_many(self, count: int, places: tuple[Place, ...]) -> None:
        """Starts instances, assigned to places in turn."""
        for number in range(count):
            self.start(number, places[number % len(places)])

    def crash(self, address: str) -> None:
        """Ends an instance without notice to its peers."""
        node = self.node_by_address.pop(address)
        node.timer.end()
        self.network.detach(address)
        self.resume_if_paused(address)

    def leave(self, address: str) -> None:
        """Shuts an instance down gracefully."""
        node = self.node_by_address.pop(address)
        node.service.leave()
        node.service.stop()
        node.timer.end()

    def pause(self, address: str) -> None:
        """Stops an instance's clock and network, as SIGSTOP does."""
        self.paused.add(address)
        self.network.pause(address)
        self.node_by_address[address].timer.pause()

    def resume(self, address: str) -> None:
        """Ends a pause."""
        self.resume_if_paused(address)
        self.node_by_address[address].timer.resume()

    def resume_if_paused(self, address: str) -> None:
        """Reconnects an address to the network."""
        self.paused.discard(address)
        self.network.resume(address)

    def live_ids(self) -> set[str]:
        """Returns the ids of the instances that are running."""
        return {
            node.service.instance_id for node in self.node_by_address.values()
        }

    def views(self) -> list[set[str]]:
        """Returns the live instances as each instance sees them."""
        return [
            {member.instance_id for member in node.service.view.live()}
            for node in self.node_by_address.values()
        ]

    def agrees(self) -> bool:
        """Returns whether all views match the running instances."""
        running_ids = self.live_ids()
        return all(view == running_ids for view in self.views())

    def advance_until_agreed(self, limit_s: float) -> float:
        """Advances time until all agree; returns the seconds it took.

        Returns infinity if they do not within ``limit_s``.
        """
        start = self.clock.now()
        while self.clock.now() - start <= limit_s:
            if self.agrees():
                return self.clock.now() - start
            self.clock.advance(1.0)
        return float('inf')
