"""Simulates admission at several instances for a pool with priorities.

The pool is a capacity in tokens per second; it serves entitled streams
first, and the others share the rest. Instances exchange demand once per
second, with a delay of one second.
"""

from collections.abc import Callable, Sequence
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_routing import admission
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from cactusmux_routing import retries
from cactusmux_routing import tickets

STEP_S = 0.1
EXCHANGE_S = 1.0
CAPACITY_TPS = 4000.0
STREAM_TPS = 25.0
ORGANISATIONS = 10


class Kind(NamedTuple):
    """A kind of request with its mean cost in tokens."""

    name: str
    worth: float
    tokens: float
    deadline_s: float


class Source(NamedTuple):
    """Requests of a service, at a rate that may change with time.

    ``tps_at`` is the demand in tokens per second; ``entries`` are the
    instances that its callers use, all if empty.
    """

    service: str
    tps_at: Callable[[float], float]
    kinds: Sequence[Kind]
    entries: Sequence[int] = ()


class Done(NamedTuple):
    """A request that was completed within its deadline."""

    service: str
    kind: Kind
    at: float


class _Stream:
    __slots__ = ('instance', 'ticket', 'kind', 'tokens', 'left')

    def __init__(
        self,
        instance: int,
        ticket: tickets.Ticket,
        kind: Kind,
        tokens: float,
    ) -> None:
        self.instance = instance
        self.ticket = ticket
        self.kind = kind
        self.tokens = tokens
        self.left = tokens


class PoolModel:
    """A pool that the services of the sources share equally."""

    def __init__(
        self,
        sources: Sequence[Source],
        instances: int,
        seed: int,
        cut_off: frozenset[int] = frozenset(),
    ) -> None:
        self.clock = timers.ManualTimers(0.0)
        self.metric = metrics.MemoryMetrics()
        self.done: list[Done] = []
        self.tokens_by_service: dict[str, list[float]] = {}
        self._sources = sources
        self._rng = random.Random(seed)
        self._cut_off = cut_off
        self._streams: list[_Stream] = []
        self._meters = [
            demand.DemandMeter(self.clock) for _ in range(instances)
        ]
        self._shares = [
            fair_share.FairShare(self.clock, meter) for meter in self._meters
        ]
        weights = {f'o{i}': 1.0 for i in range(ORGANISATIONS)}
        policy = fair_share.ServicePolicy(documents.Pool(0.5), weights)
        policies = {source.service: policy for source in sources}
        for share in self._shares:
            share.set_pool(CAPACITY_TPS, policies)
            share.set_peer_counts({'z': instances - 1})
        self._controllers = [
            admission.AdmissionController(
                self.clock, random.Random(seed + i), share, meter, self.metric
            )
            for i, (share, meter) in enumerate(
                zip(self._shares, self._meters, strict=True)
            )
        ]
        self._delayed_demand: list[list[dict[demand.Leaf, float]]] = []

    def run(self, seconds: float) -> None:
        """Advances the simulation by some seconds."""
        steps = round(seconds / STEP_S)
        for _ in range(steps):
            self._submit_arrivals()
            self._serve()
            self.clock.advance(STEP_S)
            if (
                round(self.clock.now() / STEP_S) % round(EXCHANGE_S / STEP_S)
                == 0
            ):
                self._exchange_demand()

    def burst(self, source: Source, number: int) -> None:
        """Submits a number of requests at once."""
        for _ in range(number):
            self._submit(source)

    def tps(self, service: str, first_s: float, last_s: float) -> float:
        """Returns a service's tokens per second over an interval."""
        served = self.tokens_by_service[service]
        first, last = round(first_s / STEP_S), round(last_s / STEP_S)
        return sum(served[first:last]) / (last_s - first_s)

    def _submit_arrivals(self) -> None:
        for source in self._sources:
            tokens = source.tps_at(self.clock.now()) * STEP_S
            mean = sum(k.tokens for k in source.kinds) / len(source.kinds)
            requests = tokens / mean
            number = int(requests) + (
                self._rng.random() < requests - int(requests)
            )
            self.burst(source, number)

    def _submit(self, source: Source) -> None:
        kind = self._rng.choice(list(source.kinds))
        entries = source.entries or range(len(self._controllers))
        instance = self._rng.choice(entries)
        deadline = retries.Deadline(self.clock.now() + kind.deadline_s)
        request = tickets.RequestClass(
            source.service,
            f'o{self._rng.randrange(ORGANISATIONS)}',
            kind.name,
            'm',
            kind.worth,
            kind.tokens,
            deadline,
        )
        tokens = kind.tokens * self._rng.uniform(0.5, 1.5)

        def take(answer: admission.Decision) -> None:
            ticket = answer.value_or(None)
            if ticket is not None:
                stream = _Stream(instance, ticket, kind, tokens)
                self._streams.append(stream)

        self._controllers[instance].submit(request, take)

    def _serve(self) -> None:
        for source in self._sources:
            self.tokens_by_service.setdefault(source.service, []).append(0.0)
        left_tps = CAPACITY_TPS
        for priority in (tickets.PRIORITY_ENTITLED, tickets.PRIORITY_BORROWED):
            served = [
                s for s in self._streams if s.ticket.priority == priority
            ]
            if served:
                each_tps = min(STREAM_TPS, left_tps / len(served))
                left_tps -= each_tps * len(served)
                for stream in served:
                    self._serve_tokens(stream, each_tps * STEP_S)
        ended = [s for s in self._streams if s.left <= 0]
        self._streams = [s for s in self._streams if s.left > 0]
        for stream in ended:
            self._end(stream)

    def _serve_tokens(self, stream: _Stream, tokens: float) -> None:
        served = min(tokens, stream.left)
        stream.left -= tokens
        service = stream.ticket.request.service
        self.tokens_by_service[service][-1] += served

    def _end(self, stream: _Stream) -> None:
        request = stream.ticket.request
        if request.deadline.left_s(self.clock.now()) > 0:
            self.done.append(
                Done(request.service, stream.kind, self.clock.now())
            )
        controller = self._controllers[stream.instance]
        controller.release(stream.ticket, stream.tokens)

    def _exchange_demand(self) -> None:
        self._delayed_demand.append(
            [meter.tps_by_leaf() for meter in self._meters]
        )
        if len(self._delayed_demand) < 2:
            return
        demand_by_instance = self._delayed_demand.pop(0)
        taken_at = self.clock.now() - EXCHANGE_S
        for number, share in enumerate(self._shares):
            if number in self._cut_off:
                continue
            others: dict[demand.Leaf, float] = {}
            for place, tps_by_leaf in enumerate(demand_by_instance):
                if place == number or place in self._cut_off:
                    continue
                for leaf, tps in tps_by_leaf.items():
                    others[leaf] = others.get(leaf, 0.0) + tps
            members = len(demand_by_instance) - 1
            share.update_demand(
                [demand.ZoneDemand('z', members, others, taken_at)]
            )
