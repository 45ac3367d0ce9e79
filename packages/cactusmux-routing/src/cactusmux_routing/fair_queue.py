"""A queue that is fair to services, organisations and kinds of requests.

It applies start-time fair queueing on three levels: the member with the least
weighted service received is next. A member that becomes active again starts at
the current virtual time, so that an idle period neither earns credit nor costs
anything. Within a kind, the earliest deadline is first.
"""

from collections.abc import Callable, Hashable, Iterator, Mapping
import heapq
import itertools
from typing import NamedTuple

from . import demand

# Minimum weight, for leaves whose rate has decayed to almost zero.
MIN_RATE_TPS = 1.0
# An organisation with requests of higher weight may get ahead of another one
# of its service by this much, in seconds of its own rate.
MAX_LEAD_S = 45.0
MAX_MEMBERS = 1024


class Entry(NamedTuple):
    """A queued request.

    ``weight`` is that of its kind within the organisation; ``number``
    identifies the entry.
    """

    ends_at: float
    number: int
    leaf: demand.Leaf
    kind: str
    weight: float
    cost: float


class _Level:
    """Virtual times of the members of one level."""

    def __init__(self) -> None:
        self._time_by_member: dict[Hashable, float] = {}
        self._now = 0.0

    def activate(self, member: Hashable) -> None:
        time = self._time_by_member.get(member, 0.0)
        self._time_by_member[member] = max(time, self._now)

    def time(self, member: Hashable) -> float:
        return self._time_by_member.get(member, self._now)

    def charge(self, member: Hashable, amount: float, weight: float) -> None:
        time = self.time(member)
        if amount > 0:
            self._now = max(self._now, time)
        self._time_by_member[member] = time + amount / weight
        if len(self._time_by_member) > MAX_MEMBERS:
            self._forget_idle()

    def _forget_idle(self) -> None:
        self._time_by_member = {
            member: time
            for member, time in self._time_by_member.items()
            if time > self._now
        }


class _Kind:
    """The queued entries of one kind and their total cost."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.cost = 0.0
        self.entries: list[Entry] = []

    def head(self, is_queued: Callable[[int], bool]) -> Entry:
        while not is_queued(self.entries[0].number):
            heapq.heappop(self.entries)
        return self.entries[0]


class FairQueue:
    """Queued entries by leaf and kind."""

    def __init__(self) -> None:
        self._kinds_by_leaf: dict[demand.Leaf, dict[str, _Kind]] = {}
        self._queued_numbers: set[int] = set()
        self._services = _Level()
        # Members are compared only within their service or leaf.
        self._level_by_service: dict[str, _Level] = {}
        self._level_by_leaf: dict[demand.Leaf, _Level] = {}

    def __len__(self) -> int:
        return len(self._queued_numbers)

    def push(self, entry: Entry) -> None:
        """Adds an entry; its number must be unused."""
        kinds = self._kinds_by_leaf.get(entry.leaf)
        if kinds is None:
            if not self._has_service(entry.leaf.service):
                self._services.activate(entry.leaf.service)
            self._leaf_level(entry.leaf.service).activate(entry.leaf)
            kinds = self._kinds_by_leaf[entry.leaf] = {}
        kind = kinds.get(entry.kind)
        if kind is None:
            self._kind_level(entry.leaf).activate(entry.kind)
            kind = kinds[entry.kind] = _Kind(entry.weight)
        heapq.heappush(kind.entries, entry)
        kind.weight = entry.weight
        kind.cost += entry.cost
        self._queued_numbers.add(entry.number)

    def heads(
        self, weight_by_leaf: Mapping[demand.Leaf, float]
    ) -> Iterator[Entry]:
        """Yields the next entry of each leaf in the order of service."""
        times = {
            x: self._leaf_level(x.service).time(x) for x in self._kinds_by_leaf
        }
        first_by_service: dict[str, float] = {}
        for leaf, time in times.items():
            first = first_by_service.get(leaf.service, time)
            first_by_service[leaf.service] = min(first, time)
        heads = []
        for leaf, time in times.items():
            entry = self._head(leaf)
            ahead = time > first_by_service[leaf.service] + MAX_LEAD_S
            heads.append(
                (
                    self._services.time(leaf.service),
                    leaf.service,
                    ahead,
                    time if ahead else -entry.weight,
                    time,
                    -weight_by_leaf.get(leaf, 0.0),
                    entry,
                )
            )
        heads.sort()
        for *_, entry in heads:
            yield entry

    def dequeue(
        self, entry: Entry, weight_by_leaf: Mapping[demand.Leaf, float]
    ) -> None:
        """Removes a head entry that is served now and charges its cost."""
        self.charge(entry, entry.cost, weight_by_leaf)
        self.remove(entry)

    def charge(
        self,
        entry: Entry,
        cost: float,
        weight_by_leaf: Mapping[demand.Leaf, float],
    ) -> None:
        """Charges a cost; a negative one corrects an earlier charge."""
        leaf = entry.leaf
        service_tps = sum(
            weight
            for other, weight in weight_by_leaf.items()
            if other.service == leaf.service
        )
        rate_tps = max(weight_by_leaf.get(leaf, 0.0), MIN_RATE_TPS)
        self._services.charge(
            leaf.service, cost, max(service_tps, MIN_RATE_TPS)
        )
        self._leaf_level(leaf.service).charge(leaf, cost, rate_tps)
        self._kind_level(leaf).charge(entry.kind, cost, entry.weight)

    def remove(self, entry: Entry) -> None:
        """Removes an entry that was served or rejected."""
        self._queued_numbers.remove(entry.number)
        kinds = self._kinds_by_leaf[entry.leaf]
        kind = kinds[entry.kind]
        kind.cost -= entry.cost
        if not any(e.number in self._queued_numbers for e in kind.entries):
            del kinds[entry.kind]
        if not kinds:
            del self._kinds_by_leaf[entry.leaf]

    def cost_ahead(self, leaf: demand.Leaf, kind: str) -> float:
        """Returns the queued cost of a kind within its leaf."""
        waiting = self._kinds_by_leaf.get(leaf, {}).get(kind)
        return waiting.cost if waiting else 0.0

    def kind_fraction(
        self, leaf: demand.Leaf, kind: str, weight: float
    ) -> float:
        """Returns the fraction of its leaf's service that a kind receives."""
        kinds = self._kinds_by_leaf.get(leaf, {})
        others = sum(k.weight for name, k in kinds.items() if name != kind)
        return weight / (weight + others)

    def largest_backlog(self) -> demand.Leaf | None:
        """Returns the leaf with the largest queued cost."""
        if not self._kinds_by_leaf:
            return None
        return max(self._kinds_by_leaf, key=self.waiting_cost)

    def waiting_cost(self, leaf: demand.Leaf) -> float:
        """Returns the queued cost of a leaf over all kinds."""
        kinds = self._kinds_by_leaf.get(leaf, {})
        return sum(kind.cost for kind in kinds.values())

    def least_urgent(self, leaf: demand.Leaf) -> Entry:
        """Returns the leaf's entry of least weight and latest deadline."""
        kinds = self._kinds_by_leaf[leaf]
        least = min(kinds.values(), key=lambda kind: kind.weight)
        return max(
            e for e in least.entries if e.number in self._queued_numbers
        )

    def entries(self) -> list[Entry]:
        """Returns all queued entries."""
        kinds = (x.values() for x in self._kinds_by_leaf.values())
        return [
            entry
            for kind in itertools.chain.from_iterable(kinds)
            for entry in kind.entries
            if entry.number in self._queued_numbers
        ]

    def _leaf_level(self, service: str) -> _Level:
        return self._level_by_service.setdefault(service, _Level())

    def _kind_level(self, leaf: demand.Leaf) -> _Level:
        if len(self._level_by_leaf) > MAX_MEMBERS:
            self._level_by_leaf = {
                known: level
                for known, level in self._level_by_leaf.items()
                if known in self._kinds_by_leaf
            }
        return self._level_by_leaf.setdefault(leaf, _Level())

    def _has_service(self, service: str) -> bool:
        return any(leaf.service == service for leaf in self._kinds_by_leaf)

    def _head(self, leaf: demand.Leaf) -> Entry:
        kinds = self._kinds_by_leaf[leaf]
        level = self._kind_level(leaf)
        name = min(
            kinds, key=lambda kind: (level.time(kind), -kinds[kind].weight)
        )
        return kinds[name].head(self._queued_numbers.__contains__)
