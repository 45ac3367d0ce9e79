"""A queue that is fair to services, organisations and kinds of requests.

Start-time fair queueing on three levels: whoever has been served least, by
weight, is next. One who comes back after a pause starts level with the
others, so that a pause neither earns credit nor costs anything. Within a
kind the earliest deadline is first.
"""

from collections.abc import Callable, Hashable, Iterator, Mapping
import heapq
import itertools
from typing import NamedTuple

from . import demand

# A part that has nearly faded away is still served at this rate.
MIN_PART_TPS = 1.0
# So far, in seconds of its own part, an organisation may get ahead of
# another one of its service for the sake of requests that are worth more.
HORIZON_S = 45.0
MAX_IDLE = 1024


class Entry(NamedTuple):
    """A waiting request as the queue sees it.

    ``weight`` is that of its kind within the organisation; ``number``
    tells entries apart.
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
        if len(self._time_by_member) > MAX_IDLE:
            self._forget_idle()

    def _forget_idle(self) -> None:
        self._time_by_member = {
            member: time
            for member, time in self._time_by_member.items()
            if time > self._now
        }


class _Kind:
    """The waiting entries of one kind, with what they cost together."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.cost = 0.0
        self.entries: list[Entry] = []

    def head(self, alive: Callable[[int], bool]) -> Entry:
        while not alive(self.entries[0].number):
            heapq.heappop(self.entries)
        return self.entries[0]


class FairQueue:
    """Waiting entries by leaf and kind."""

    def __init__(self) -> None:
        self._kinds_by_leaf: dict[demand.Leaf, dict[str, _Kind]] = {}
        self._alive: set[int] = set()
        self._services = _Level()
        # Members are only ever compared within their service or leaf.
        self._level_by_service: dict[str, _Level] = {}
        self._level_by_leaf: dict[demand.Leaf, _Level] = {}

    def __len__(self) -> int:
        return len(self._alive)

    def push(self, entry: Entry) -> None:
        """Adds an entry; its number must be new."""
        kinds = self._kinds_by_leaf.get(entry.leaf)
        if kinds is None:
            if not self._serves(entry.leaf.service):
                self._services.activate(entry.leaf.service)
            self._leaves(entry.leaf.service).activate(entry.leaf)
            kinds = self._kinds_by_leaf[entry.leaf] = {}
        kind = kinds.get(entry.kind)
        if kind is None:
            self._kinds(entry.leaf).activate(entry.kind)
            kind = kinds[entry.kind] = _Kind(entry.weight)
        heapq.heappush(kind.entries, entry)
        kind.weight = entry.weight
        kind.cost += entry.cost
        self._alive.add(entry.number)

    def heads(
        self, weight_by_leaf: Mapping[demand.Leaf, float]
    ) -> Iterator[Entry]:
        """Yields the next entry of each leaf, the first in turn first."""
        times = {
            x: self._leaves(x.service).time(x) for x in self._kinds_by_leaf
        }
        first_by_service: dict[str, float] = {}
        for leaf, time in times.items():
            first = first_by_service.get(leaf.service, time)
            first_by_service[leaf.service] = min(first, time)
        heads = []
        for leaf, time in times.items():
            entry = self._head(leaf)
            ahead = time > first_by_service[leaf.service] + HORIZON_S
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
        """Removes a head that is served now and charges its cost."""
        self.charge(entry, entry.cost, weight_by_leaf)
        self.remove(entry)

    def charge(
        self,
        entry: Entry,
        cost: float,
        weight_by_leaf: Mapping[demand.Leaf, float],
    ) -> None:
        """Charges a cost, which may be negative to put one right."""
        leaf = entry.leaf
        of_service = sum(
            weight
            for other, weight in weight_by_leaf.items()
            if other.service == leaf.service
        )
        part_tps = max(weight_by_leaf.get(leaf, 0.0), MIN_PART_TPS)
        self._services.charge(
            leaf.service, cost, max(of_service, MIN_PART_TPS)
        )
        self._leaves(leaf.service).charge(leaf, cost, part_tps)
        self._kinds(leaf).charge(entry.kind, cost, entry.weight)

    def remove(self, entry: Entry) -> None:
        """Removes an entry, served or given up on."""
        self._alive.remove(entry.number)
        kinds = self._kinds_by_leaf[entry.leaf]
        kind = kinds[entry.kind]
        kind.cost -= entry.cost
        if not any(e.number in self._alive for e in kind.entries):
            del kinds[entry.kind]
        if not kinds:
            del self._kinds_by_leaf[entry.leaf]

    def cost_ahead(self, leaf: demand.Leaf, kind: str) -> float:
        """Returns what waits in the leaf's own kind."""
        waiting = self._kinds_by_leaf.get(leaf, {}).get(kind)
        return waiting.cost if waiting else 0.0

    def kind_fraction(
        self, leaf: demand.Leaf, kind: str, weight: float
    ) -> float:
        """Returns the fraction of its leaf that a kind is served."""
        kinds = self._kinds_by_leaf.get(leaf, {})
        others = sum(k.weight for name, k in kinds.items() if name != kind)
        return weight / (weight + others)

    def largest_backlog(self) -> demand.Leaf | None:
        """Returns the leaf for which the most waits."""
        if not self._kinds_by_leaf:
            return None
        return max(self._kinds_by_leaf, key=self.waiting_cost)

    def waiting_cost(self, leaf: demand.Leaf) -> float:
        """Returns what waits for a leaf, over all kinds."""
        kinds = self._kinds_by_leaf.get(leaf, {})
        return sum(kind.cost for kind in kinds.values())

    def last(self, leaf: demand.Leaf) -> Entry:
        """Returns the leaf's entry of least weight and last deadline."""
        kinds = self._kinds_by_leaf[leaf]
        least = min(kinds.values(), key=lambda kind: kind.weight)
        return max(e for e in least.entries if e.number in self._alive)

    def entries(self) -> list[Entry]:
        """Returns all waiting entries."""
        kinds = (x.values() for x in self._kinds_by_leaf.values())
        return [
            entry
            for kind in itertools.chain.from_iterable(kinds)
            for entry in kind.entries
            if entry.number in self._alive
        ]

    def _leaves(self, service: str) -> _Level:
        return self._level_by_service.setdefault(service, _Level())

    def _kinds(self, leaf: demand.Leaf) -> _Level:
        if len(self._level_by_leaf) > MAX_IDLE:
            self._level_by_leaf = {
                known: level
                for known, level in self._level_by_leaf.items()
                if known in self._kinds_by_leaf
            }
        return self._level_by_leaf.setdefault(leaf, _Level())

    def _serves(self, service: str) -> bool:
        return any(leaf.service == service for leaf in self._kinds_by_leaf)

    def _head(self, leaf: demand.Leaf) -> Entry:
        kinds = self._kinds_by_leaf[leaf]
        level = self._kinds(leaf)
        name = min(
            kinds, key=lambda kind: (level.time(kind), -kinds[kind].weight)
        )
        return kinds[name].head(self._alive.__contains__)
