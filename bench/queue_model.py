"""Simulates streams on capacity-limited resources, with delayed reports.

Each stream runs at the rate of its slowest stage or link. The streams on one
resource share its capacity, and unused shares go to the others. The model
measures decision functions, not processes or networks.
"""

from collections.abc import Callable, Sequence
import random

from cactusmux_base import timers
from cactusmux_routing import choosers
from cactusmux_routing import links
from cactusmux_routing import routes
from cactusmux_routing import target_table
import numpy

from . import made_up_tables

STEP_S = 0.25
REPORT_EVERY_S = 1.0
REPORT_LAG_S = 1.0
STREAM_TPS = 25.0
MEAN_TOKENS = 200.0
SHARING_ROUNDS = 6

MakeChooser = Callable[
    [timers.TimerService, random.Random], choosers.RouteChooser
]


class _Stream:
    __slots__ = ('chooser', 'route', 'resources', 'left')

    def __init__(
        self,
        chooser: choosers.RouteChooser,
        route: routes.Route,
        resources: list[int],
        left: float,
    ) -> None:
        self.chooser = chooser
        self.route = route
        self.resources = resources
        self.left = left


class QueueModel:
    """A fleet with a fixed number of streams from several instances."""

    def __init__(
        self,
        fleet: made_up_tables.Fleet,
        make_chooser: MakeChooser,
        instances: int,
        streams: int,
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._clock = timers.ManualTimers(0.0)
        self._choosers = [
            make_chooser(self._clock, random.Random(seed + 1 + i))
            for i in range(instances)
        ]
        self._number_by_resource: dict[object, int] = {}
        self._capacities: list[float] = []
        self._target_by_address = {t.address: t for t in fleet.targets}
        for target in fleet.targets:
            self._resource(target.address, target.capacity_tps)
        self._failed: frozenset[str] = frozenset()
        self._reports: list[tuple[float, numpy.ndarray]] = []
        self._update_choosers(numpy.zeros(len(fleet.targets), dtype=int), 0.0)
        self._streams = [self._start_stream() for _ in range(streams)]

    def run(self, warm_up_s: float, measured_s: float) -> float:
        """Returns tokens per second after a warm-up."""
        tokens = 0.0
        steps = int((warm_up_s + measured_s) / STEP_S)
        next_report = REPORT_EVERY_S
        for step in range(steps):
            served = self._step()
            if step * STEP_S >= warm_up_s:
                tokens += served
            if self._clock.now() >= next_report:
                next_report += REPORT_EVERY_S
                self._report()
        return tokens / measured_s

    def fail(self, addresses: frozenset[str]) -> None:
        """Fails targets and reroutes all their streams at once.

        Every instance knows the failure from its own broken streams.
        """
        for chooser in self._choosers:
            for address in addresses:
                chooser.remove(address)
        self._failed |= addresses
        for number, stream in enumerate(self._streams):
            if any(s.address in addresses for s in stream.route.stages):
                stream.chooser.record_finished(stream.route)
                moved = self._start_stream()
                moved.left = stream.left
                self._streams[number] = moved

    def _step(self) -> float:
        rates = self._compute_rates()
        self._clock.advance(STEP_S)
        for number, stream in enumerate(self._streams):
            stream.left -= rates[number] * STEP_S
            if stream.left <= 0:
                stream.chooser.record_finished(stream.route)
                self._streams[number] = self._start_stream()
        return float(rates.sum()) * STEP_S

    def _compute_rates(self) -> numpy.ndarray:
        width = max(len(s.resources) for s in self._streams)
        unlimited = len(self._capacities)
        uses = numpy.full((len(self._streams), width), unlimited)
        for number, stream in enumerate(self._streams):
            uses[number, : len(stream.resources)] = stream.resources
        capacity = numpy.array([*self._capacities, links.UNLIMITED_TPS])
        size = len(capacity)
        counts = numpy.bincount(uses.ravel(), minlength=size)
        each = capacity / numpy.maximum(counts, 1)
        rates = numpy.minimum(STREAM_TPS, each[uses].min(axis=1))
        for _ in range(SHARING_ROUNDS):
            weights = numpy.repeat(rates, width)
            load = numpy.bincount(uses.ravel(), weights, minlength=size)
            slack = capacity / numpy.maximum(load, 1e-9)
            rates = numpy.minimum(STREAM_TPS, rates * slack[uses].min(axis=1))
        return rates

    def _start_stream(self) -> _Stream:
        chooser = self._rng.choice(self._choosers)
        model = self._rng.choice(sorted(self._fleet.shape_by_model))
        zone = self._rng.choice(self._fleet.zones)
        request = choosers.RouteRequest(
            model, 'v1', '', made_up_tables.LAYERS, zone=zone
        )
        route = chooser.choose(request).unwrap()
        chooser.record_started(route)
        left = self._rng.expovariate(1.0 / MEAN_TOKENS)
        return _Stream(chooser, route, self._resources(route), left)

    def _resources(self, route: routes.Route) -> list[int]:
        used = []
        before = ''
        for stage in route.stages:
            after = self._target_by_address[stage.address].zone
            if before and before != after:
                link = self._fleet.links.between(before, after)
                used.append(self._resource((before, after), link.capacity_tps))
            used.append(self._number_by_resource[stage.address])
            before = after
        return used

    def _resource(self, resource: object, capacity_tps: float) -> int:
        number = self._number_by_resource.get(resource)
        if number is None:
            number = len(self._capacities)
            self._number_by_resource[resource] = number
            self._capacities.append(capacity_tps)
        return number

    def _report(self) -> None:
        used = [r for s in self._streams for r in s.resources]
        counts = numpy.bincount(used, minlength=len(self._capacities))
        now = self._clock.now()
        self._reports.append((now, counts))
        while self._reports and self._reports[0][0] <= now - REPORT_LAG_S:
            taken_at, lagging = self._reports.pop(0)
            self._update_choosers(lagging, taken_at)

    def _update_choosers(self, counts: Sequence[int], taken_at: float) -> None:
        table = target_table.TargetTable(
            {
                target.address: target._replace(
                    running=int(counts[number]), taken_at=taken_at
                )
                for number, target in enumerate(self._fleet.targets)
                if target.address not in self._failed
            }
        )
        for chooser in self._choosers:
            chooser.update(table)
