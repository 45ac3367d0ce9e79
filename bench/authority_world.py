"""Seeded fault sequences for the order lease, on a manual clock.

Three instances compete for the lease in one store while targets restart,
documents change and the store fails. An instance may be paused at any point,
even between the check of its authority and the sending of its order.
"""

import random
from typing import Any, NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_control import leases
from cactusmux_control import orders
from cactusmux_control import plan_record
from cactusmux_control import pool
from cactusmux_fakes import direct_targets
from cactusmux_fakes import engines
from cactusmux_fakes import faulty_store
from cactusmux_fakes import fixed_weights
from cactusmux_fakes import memory_store
from cactusmux_platform import instances
from cactusmux_platform import targets

INSTANCES = 3
TARGETS = 6
EVENTS = 40
MODEL = documents.Model(6, 4096, 500, 'v1', ('a',))
FAULTS = (
    faulty_store.Faults(down=True),
    faulty_store.Faults(lost_answers=0.5),
    faulty_store.Faults(lost_writes=0.5),
    faulty_store.Faults(stale_reads=0.5),
    faulty_store.Faults(slow_s=1.5, lost_answers=0.3),
)
LONGEST_PAUSE_S = orders.PIN_DURATION_S / 2
LEASE_KEY = f'{leases.LEASE_PREFIX}{leases.order_lease("r1")}'


class Counts(NamedTuple):
    """Counts of orders over a sequence.

    An order is ``stale`` if it was sent after its sender's lease had ended.
    A stale order is ``effective`` if the target accepted it and the plan in
    force assigns other holdings to that target.
    """

    orders: int = 0
    stale: int = 0
    stale_taken: int = 0
    effective: int = 0
    holders: int = 0


class _CountingClient(direct_targets.DirectTargetClient):
    """Counts each order on arrival; pauses the sender if requested."""

    def __init__(self, world: 'World', number: int) -> None:
        super().__init__(world.fabric)
        self._world = world
        self._number = number
        self.pause_s = 0.0

    def send_order(self, address: str, order: targets.Order) -> Any:
        pause_s, self.pause_s = self.pause_s, 0.0
        if pause_s:
            self._world.run_others(self._number, pause_s)
        is_stale = self._world.is_stale(order)
        planned = self._world.planned(address)
        answer = super().send_order(address, order)
        is_taken = answer.value_or(None) is not None
        counts = self._world.counts
        differs = planned is not None and planned != order.holdings
        self._world.counts = counts._replace(
            orders=counts.orders + 1,
            stale=counts.stale + is_stale,
            stale_taken=counts.stale_taken + (is_stale and is_taken),
            effective=counts.effective + (is_stale and is_taken and differs),
        )
        return answer


class _Instance:
    def __init__(self, world: 'World', number: int) -> None:
        self.paused_until = 0.0
        self.store = faulty_store.FaultyStore(
            world.store, world.clock, world.rng
        )
        self.client = _CountingClient(world, number)
        metric = metrics.MemoryMetrics()
        self.lease = leases.LeaseHolder(
            self.store,
            world.clock,
            metric,
            leases.order_lease('r1'),
            f'10.9.0.{number}:80',
        )
        self.dispatcher = orders.OrderDispatcher(
            self.store,
            world.clock,
            metric,
            self.client,
            fixed_weights.FixedWeightStore(10_000.0),
            orders.Sources(
                self.lease.authority,
                lambda: world.documents,
                world.known_targets,
            ),
            'r1',
        )


class World:
    """The instances, store and targets of one sequence."""

    def __init__(
        self,
        seed: int,
        checks_fencing: bool,
        longest_pause_s: float = LONGEST_PAUSE_S,
    ) -> None:
        self._longest_pause_s = longest_pause_s
        self.rng = random.Random(seed)
        self.clock = timers.ManualTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.fabric = engines.Fabric(self.clock)
        self.counts = Counts()
        self.documents: list[documents.ServiceDocument] = []
        config = engines.EngineConfig(checks_fencing=checks_fencing)
        for number in range(TARGETS):
            engines.Engine(self.fabric, f'10.0.0.{number}:80', config)
        self._versions = 0
        self._nesting_depth = 0
        self._fencing_seen: set[int] = set()
        self._change_document()
        self._instances = [_Instance(self, n) for n in range(INSTANCES)]

    def run(self, events: int) -> Counts:
        """Runs random events, each followed by a round of all instances."""
        for _ in range(events):
            self._run_random_event()
            self._step_all(range(INSTANCES))
        return self.counts._replace(holders=len(self._fencing_seen))

    def run_others(self, number: int, seconds: float) -> None:
        """Runs all instances but one for some seconds."""
        ends_at = self.clock.now() + seconds
        self._nesting_depth += 1
        others = [n for n in range(INSTANCES) if n != number]
        while self.clock.now() < ends_at:
            if self.rng.random() < 0.1:
                self._run_random_event()
            self._step_all(others)
        self._nesting_depth -= 1

    def is_stale(self, order: targets.Order) -> bool:
        """Returns whether the order's lease has ended in the store."""
        entry = self.store.get(LEASE_KEY).unwrap()
        return entry is None or entry.revision != order.fencing

    def planned(self, address: str) -> Any:
        """Returns the holdings of a target in the plan in force."""
        entry = self.store.get(plan_record.plan_key('r1')).unwrap()
        record = plan_record.decode(entry.value) if entry else None
        if record is None:
            return None
        return record.holdings_by_address.get(address)

    def known_targets(self) -> list[pool.KnownTarget]:
        """Returns all targets with current reports, as after a poll."""
        return [
            pool.KnownTarget(
                instances.ListedInstance(
                    address,
                    instances.Role.ENGINE,
                    'r1',
                    f'z{number % 2}',
                    memory_mb=4000,
                ),
                None if engine.dead else engine.report(),
                0.0,
            )
            for number, (address, engine) in enumerate(
                sorted(self.fabric.engine_by_address.items())
            )
        ]

    def _step_all(self, numbers: Any) -> None:
        self.clock.advance(self.rng.uniform(0.2, 2.5))
        for number in self.rng.sample(list(numbers), len(numbers)):
            instance = self._instances[number]
            if self.clock.now() < instance.paused_until:
                continue
            instance.lease.step()
            authority = instance.lease.authority()
            if authority is not None:
                self._fencing_seen.add(authority.fencing)
            instance.dispatcher.run_round()

    def _run_random_event(self) -> None:
        event = self.rng.choice(
            [
                self._change_document,
                self._pause,
                self._pause_before_next_order,
                self._pause_before_next_order,
                self._fail_store,
                self._repair_store,
                self._restart_target,
                self._kill_or_start_target,
                self._replace_instance,
            ]
        )
        event()

    def _change_document(self) -> None:
        self._versions += 1
        model = MODEL._replace(version=f'v{self._versions}')
        self.documents = [
            documents.ServiceDocument(
                'art', documents.Pool(0.5), {'conditions': model}, {}, {}, {}
            )
        ]

    def _pause(self) -> None:
        instance = self.rng.choice(self._instances)
        instance.paused_until = self.clock.now() + self.rng.uniform(5.0, 60.0)

    def _pause_before_next_order(self) -> None:
        if self._nesting_depth < 2:
            instance = self.rng.choice(self._instances)
            longest_s = self._longest_pause_s / 4**self._nesting_depth
            instance.client.pause_s = self.rng.uniform(5.0, longest_s)
            self._change_document()

    def _fail_store(self) -> None:
        for instance in self._instances:
            if self.rng.random() < 0.5:
                instance.store.faults = self.rng.choice(FAULTS)

    def _repair_store(self) -> None:
        for instance in self._instances:
            instance.store.faults = faulty_store.NO_FAULTS

    def _restart_target(self) -> None:
        address = self.rng.choice(sorted(self.fabric.engine_by_address))
        self.fabric.engine_by_address[address].hold()

    def _kill_or_start_target(self) -> None:
        address = self.rng.choice(sorted(self.fabric.engine_by_address))
        engine = self.fabric.engine_by_address[address]
        engine.dead = not engine.dead
        engine.hold()

    def _replace_instance(self) -> None:
        number = self.rng.randrange(INSTANCES)
        if self._nesting_depth == 0:
            self._instances[number] = _Instance(self, number)


def run_sequences(
    seeds: range,
    checks_fencing: bool,
    longest_pause_s: float = LONGEST_PAUSE_S,
) -> Counts:
    """Runs one sequence per seed and returns the sum of the counts."""
    total = Counts()
    for seed in seeds:
        counts = World(seed, checks_fencing, longest_pause_s).run(EVENTS)
        total = Counts(*map(sum, zip(total, counts, strict=True)))
    return total
