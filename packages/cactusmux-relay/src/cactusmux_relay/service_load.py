"""Load of a service over the whole fleet, by urgency.

No instance can detect an overloaded service by itself, so each one reports to
its peers what its streams hold and what was requested of it recently. Messages
may be lost, duplicated or late, and in a large fleet an instance hears of a
sample only, which is extrapolated to all. Without any reports, an instance
assumes that each peer holds as much as itself.
"""

from collections.abc import Callable, Mapping, Sequence
import hashlib
import itertools
import math
from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import urgency_ranks

# Reports older than this are stale.
MAX_REPORT_AGE_S = 2.0
# Time constant of the averages of arrivals and rejections.
RATE_WINDOW_S = 1.0
# Maximum number of services in a report; bounds its size.
MAX_SERVICES = 2
# Maximum number of organisations in a report: those with the largest demand,
# identified by a short hash of their names.
MAX_ORGANISATIONS = 12
ORGANISATION_KEY_BYTES = 2
# Reports of this many peers, or of all if there are fewer, are a sufficient
# sample of the fleet.
SUFFICIENT_REPORTS = 16
# Sums of the peers' reports are cached for this time unless a report arrives.
SUM_CACHE_S = 0.1
MS_PER_S = 1000.0

Ranks = tuple[float, ...]


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """Load of one service as reported by one instance; lists are by rank.

    :ivar held: tokens of the streams that it has admitted.
    :ivar asked: tokens per second of the requests that it received.
    :ivar rejected: tokens per second of the requests that it rejected.
    :ivar held_and_asked: ``held`` and ``asked`` by organisation key.
    """

    held: list[int]
    asked: list[int]
    rejected: list[int]
    held_and_asked: dict[int, tuple[int, int]] = {}


class Report(msgspec.Struct, array_like=True, frozen=True):
    """Report of one instance.

    :ivar sent_ms: time by the sender's clock; orders its reports.
    """

    sent_ms: int
    tally_by_service: dict[str, Tally]


class ServiceLoad(NamedTuple):
    """Estimated load of a service over the fleet; tuples are by rank.

    :ivar room_tokens: KV cache capacity of the usable targets together.
    :ivar held: tokens of admitted streams, over all instances.
    :ivar asked: requested tokens per second, over all instances.
    :ivar rejected: rejected tokens per second, over all instances.
    :ivar own_tokens: tokens of the streams admitted by this instance.
    :ivar instances: number of instances, including this one.
    :ivar heard: number of peers whose reports aren't stale.
    :ivar age_s: mean age of these reports, infinite if there are none.
    :ivar held_by_organisation: tokens, by :func:`organisation_key`.
    :ivar asked_by_organisation: tokens per second, likewise.
    """

    room_tokens: float
    held: Ranks
    asked: Ranks
    rejected: Ranks
    own_tokens: float
    instances: int
    heard: int
    age_s: float
    held_by_organisation: Mapping[int, float] = {}
    asked_by_organisation: Mapping[int, float] = {}

    @property
    def used_tokens(self) -> float:
        """Returns the tokens held by all ranks."""
        return sum(self.held)

    @property
    def fill(self) -> float:
        """Returns the fraction of the capacity that is in use."""
        if self.room_tokens <= 0:
            return 1.0
        return self.used_tokens / self.room_tokens

    @property
    def report_coverage(self) -> float:
        """Returns the fraction of a sufficient sample that has reported."""
        enough = min(self.instances - 1, SUFFICIENT_REPORTS)
        return min(1.0, self.heard / enough) if enough > 0 else 1.0

    @property
    def has_no_reports(self) -> bool:
        """Whether there are peers but none of them has reported."""
        return self.instances > 1 and self.heard == 0

    def with_stream(
        self, rank: int, organisation: int, tokens: float
    ) -> 'ServiceLoad':
        """Returns the load after this instance has admitted a stream."""
        held = list(self.held)
        held[rank] += tokens
        by_organisation = dict(self.held_by_organisation)
        before = by_organisation.get(organisation, 0.0)
        by_organisation[organisation] = before + tokens
        return self._replace(
            held=tuple(held),
            own_tokens=self.own_tokens + tokens,
            held_by_organisation=by_organisation,
        )


class _Rate:
    """Exponentially decaying average of tokens per second."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at = 0.0

    def add(self, now: float, tokens: float) -> None:
        self._per_s = self.per_s(now) + tokens / RATE_WINDOW_S
        self._at = now

    def per_s(self, now: float) -> float:
        return self._per_s * math.exp((self._at - now) / RATE_WINDOW_S)


class _OrganisationLoad:
    """Load of one organisation at this instance."""

    def __init__(self) -> None:
        self.held = 0.0
        self.asked = _Rate()


class _LocalLoad:
    """Load of one service at this instance."""

    def __init__(self) -> None:
        self.organisation_by_key: dict[int, _OrganisationLoad] = {}
        self.held = [0.0] * urgency_ranks.MAX_RANKS
        self.asked = [_Rate() for _ in range(urgency_ranks.MAX_RANKS)]
        self.rejected = [_Rate() for _ in range(urgency_ranks.MAX_RANKS)]

    def tally(self, now: float) -> Tally:
        count = urgency_ranks.MAX_RANKS
        while count and not self._is_reported(count - 1, now):
            count -= 1
        return Tally(
            [round(tokens) for tokens in self.held[:count]],
            [round(rate.per_s(now)) for rate in self.asked[:count]],
            [round(rate.per_s(now)) for rate in self.rejected[:count]],
            self._organisations(now),
        )

    def organisation(self, key: int) -> _OrganisationLoad:
        return self.organisation_by_key.setdefault(key, _OrganisationLoad())

    def _organisations(self, now: float) -> dict[int, tuple[int, int]]:
        """Returns the active organisations; drops the others."""
        found = {}
        for key, known in list(self.organisation_by_key.items()):
            asked = known.asked.per_s(now)
            if known.held < 1.0 and asked < 1.0:
                del self.organisation_by_key[key]
                continue
            found[key] = (round(known.held), round(asked))
        return found

    def _is_reported(self, rank: int, now: float) -> bool:
        return self.held[rank] >= 1.0 or self.asked[rank].per_s(now) >= 1.0


class _ReceivedReport(NamedTuple):
    at: float
    report: Report

    def covers(self, service: str) -> bool:
        """Whether the report covers a service, possibly with no load.

        A service that is missing from a full report may have been cut off.
        """
        tally_by_service = self.report.tally_by_service
        return service in tally_by_service or (
            len(tally_by_service) < MAX_SERVICES
        )


_NO_LOAD = Tally([], [], [])


class _PeerLoads(NamedTuple):
    """Cached sum of the peers' reports on one service."""

    at: float
    tallies: tuple[Tally, ...]
    total: Tally
    age_s: float


class ServiceLoadTracker(gossip_topics.GossipTopic):
    """Combines the loads of this instance and of its peers by service.

    :param instances: returns the number of instances in the fleet.
    """

    name = 'pressure'

    def __init__(
        self, timer: timers.TimerService, instances: Callable[[], int]
    ) -> None:
        self._timer = timer
        self._instances = instances
        self._own_by_service: dict[str, _LocalLoad] = {}
        self._report_by_sender: dict[str, _ReceivedReport] = {}
        self._peer_loads_by_service: dict[str, _PeerLoads] = {}

    def record_request(
        self, service: str, rank: int, organisation: int, tokens: float
    ) -> None:
        """Counts a request received from a caller."""
        own = self._own_load(service)
        now = self._timer.now()
        own.asked[rank].add(now, tokens)
        own.organisation(organisation).asked.add(now, tokens)

    def record_rejection(self, service: str, rank: int, tokens: float) -> None:
        """Counts a request that was rejected for lack of capacity."""
        self._own_load(service).rejected[rank].add(self._timer.now(), tokens)

    def add_held_tokens(
        self, service: str, rank: int, organisation: int, tokens: float
    ) -> None:
        """Adds the tokens of an admitted stream; negative ones remove them."""
        own = self._own_load(service)
        own.held[rank] = max(0.0, own.held[rank] + tokens)
        by_organisation = own.organisation(organisation)
        by_organisation.held = max(0.0, by_organisation.held + tokens)

    def own(self) -> bytes:
        """Returns this instance's encoded report.

        It is empty where no service has ranks. An idle instance reports that
        it holds nothing, because its peers assume their mean for an instance
        that doesn't report.
        """
        if not self._own_by_service and not self._fresh_reports():
            return b''
        now = self._timer.now()
        tally_by_service = {
            name: own.tally(now) for name, own in self._own_by_service.items()
        }
        fullest = sorted(
            tally_by_service,
            key=lambda name: -sum(tally_by_service[name].held),
        )[:MAX_SERVICES]
        reported = {
            name: _truncated(tally_by_service[name]) for name in fullest
        }
        return msgspec.msgpack.encode(Report(round(now * MS_PER_S), reported))

    def take(self, sender: str, data: bytes) -> None:
        """Stores a peer's report unless a newer one has arrived."""
        report = decoding.from_msgpack(data, type=Report)
        known = self._report_by_sender.get(sender)
        now = self._timer.now()
        if known is not None and now - known.at <= MAX_REPORT_AGE_S:
            # A duplicated or reordered datagram doesn't renew an old report.
            if report.sent_ms <= known.report.sent_ms:
                return
        self._report_by_sender[sender] = _ReceivedReport(now, report)
        self._peer_loads_by_service.clear()

    def load(
        self, service: str, ranks: int, room_tokens: float
    ) -> ServiceLoad:
        """Returns the estimated fleet-wide load of a service.

        :param ranks: number of ranks of the service.
        """
        now = self._timer.now()
        own = self._own_load(service).tally(now)
        peers = self._peer_loads(service)
        # Without reports, peers are assumed to have this instance's load.
        tallies = peers.tallies or (own,)
        instances = max(1, self._instances(), len(peers.tallies) + 1)
        extrapolation = (instances - 1) / len(tallies)
        reported = _sum_tallies(tallies) if not peers.tallies else peers.total
        return ServiceLoad(
            room_tokens=room_tokens,
            held=_extrapolate_ranks(
                ranks, own.held, reported.held, extrapolation
            ),
            asked=_extrapolate_ranks(
                ranks, own.asked, reported.asked, extrapolation
            ),
            rejected=_extrapolate_ranks(
                ranks, own.rejected, reported.rejected, extrapolation
            ),
            own_tokens=float(sum(own.held)),
            instances=instances,
            heard=len(peers.tallies),
            age_s=peers.age_s + now - peers.at,
            held_by_organisation=_extrapolate_organisations(
                own, reported, extrapolation, 0
            ),
            asked_by_organisation=_extrapolate_organisations(
                own, reported, extrapolation, 1
            ),
        )

    def _peer_loads(self, service: str) -> _PeerLoads:
        """Returns the cached sum of peers, recomputed after new reports."""
        now = self._timer.now()
        known = self._peer_loads_by_service.get(service)
        if known is not None and now - known.at < SUM_CACHE_S:
            return known
        fresh = [
            each for each in self._fresh_reports() if each.covers(service)
        ]
        tallies = tuple(
            each.report.tally_by_service.get(service, _NO_LOAD)
            for each in fresh
        )
        ages = [now - each.at for each in fresh]
        age_s = sum(ages) / len(ages) if ages else math.inf
        found = _PeerLoads(now, tallies, _sum_tallies(tallies), age_s)
        self._peer_loads_by_service[service] = found
        return found

    def _own_load(self, service: str) -> _LocalLoad:
        return self._own_by_service.setdefault(service, _LocalLoad())

    def _fresh_reports(self) -> list[_ReceivedReport]:
        oldest = self._timer.now() - MAX_REPORT_AGE_S
        for sender, heard in list(self._report_by_sender.items()):
            if heard.at < oldest:
                del self._report_by_sender[sender]
        return list(self._report_by_sender.values())


def _sum_tallies(tallies: Sequence[Tally]) -> Tally:
    """Adds up the tallies of several instances."""
    by_key: dict[int, tuple[int, int]] = {}
    for tally in tallies:
        for key, (held, asked) in tally.held_and_asked.items():
            before = by_key.get(key, (0, 0))
            by_key[key] = (before[0] + held, before[1] + asked)
    return Tally(
        _sum_lists([each.held for each in tallies]),
        _sum_lists([each.asked for each in tallies]),
        _sum_lists([each.rejected for each in tallies]),
        by_key,
    )


def _sum_lists(lists: Sequence[list[int]]) -> list[int]:
    return [
        sum(amounts) for amounts in itertools.zip_longest(*lists, fillvalue=0)
    ]


def _extrapolate_ranks(
    ranks: int,
    own: Sequence[int],
    reported: Sequence[int],
    extrapolation: float,
) -> Ranks:
    """Adds up by rank; ranks beyond the last one count towards the last."""
    total = [0.0] * ranks
    for rank, amount in enumerate(own):
        total[min(rank, ranks - 1)] += amount
    for rank, amount in enumerate(reported):
        total[min(rank, ranks - 1)] += amount * extrapolation
    return tuple(total)


def _extrapolate_organisations(
    own: Tally, reported: Tally, extrapolation: float, column: int
) -> dict[int, float]:
    """Adds up one column of ``held_and_asked`` by organisation."""
    total = {
        key: each[column] * extrapolation
        for key, each in reported.held_and_asked.items()
    }
    for key, each in own.held_and_asked.items():
        total[key] = total.get(key, 0.0) + each[column]
    return total


def _truncated(tally: Tally) -> Tally:
    """Keeps only the organisations with the largest load."""
    largest = sorted(
        tally.held_and_asked.items(), key=lambda each: -sum(each[1])
    )
    return msgspec.structs.replace(
        tally, held_and_asked=dict(largest[:MAX_ORGANISATIONS])
    )


def organisation_key(name: str) -> int:
    """Returns a short hash of an organisation's name."""
    digest = hashlib.blake2b(
        name.encode(), digest_size=ORGANISATION_KEY_BYTES
    ).digest()
    return int.from_bytes(digest, 'big')
