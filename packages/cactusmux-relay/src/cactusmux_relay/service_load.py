"""How full a service is over the whole fleet, by urgency.

It answers a load above what a service can carry, which no instance sees by
itself: each one tells the others what its streams hold and what was asked of
it lately. Messages are lost, doubled and late, and a large fleet hears of a
sample; what is heard then stands for all. Without any news an instance takes
the others to hold as much as itself.
"""

from collections.abc import Callable, Mapping, Sequence
import hashlib
import itertools
import math
from typing import NamedTuple

from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import urgency_ranks

# News older than this are stale.
STALE_S = 2.0
# Arrivals and rejections are averaged over about this time.
RATE_WINDOW_S = 1.0
# Services that one instance tells of, which bounds the bytes.
MAX_SERVICES = 2
# Organisations told of, those that ask most, by a short hash of their names.
MAX_ORGANISATIONS = 12
ORGANISATION_KEY_BYTES = 2
# News of so many others, or of all, are as good as of the whole fleet.
ENOUGH_HEARD = 16
# Sums of the others' news are kept for so long if nothing new comes.
SUM_AGE_S = 0.1
MS_PER_S = 1000.0

Ranks = tuple[float, ...]


class Tally(msgspec.Struct, array_like=True, frozen=True):
    """What one instance tells of one service; lists are by rank.

    :ivar held: tokens of the streams that it has admitted.
    :ivar asked: tokens a second of the requests that it got.
    :ivar rejected: tokens a second of those that it rejected.
    :ivar held_and_asked: the same by key of an organisation.
    """

    held: list[int]
    asked: list[int]
    rejected: list[int]
    held_and_asked: dict[int, tuple[int, int]] = {}


class Report(msgspec.Struct, array_like=True, frozen=True):
    """What one instance tells.

    :ivar sent_ms: by the sender's clock; tells the newer of two reports.
    """

    sent_ms: int
    tally_by_service: dict[str, Tally]


class Pressure(NamedTuple):
    """What an instance believes of a service; tuples are by rank.

    :ivar room_tokens: that the usable targets hold together.
    :ivar held: tokens of admitted streams, over all instances.
    :ivar asked: tokens a second, over all instances, likewise ``rejected``.
    :ivar own_tokens: of the streams that this instance has admitted.
    :ivar heard: other instances whose news are fresh.
    :ivar age_s: mean age of these news, infinite if there are none.
    :ivar held_by_organisation: tokens, by :func:`organisation_key`.
    :ivar asked_by_organisation: tokens a second, likewise.
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
        """Returns the tokens held, of all ranks."""
        return sum(self.held)

    @property
    def fill(self) -> float:
        """Returns the share of the room that is in use."""
        if self.room_tokens <= 0:
            return 1.0
        return self.used_tokens / self.room_tokens

    @property
    def heard_share(self) -> float:
        """Returns how much of the news there is that makes a good guess."""
        enough = min(self.instances - 1, ENOUGH_HEARD)
        return min(1.0, self.heard / enough) if enough > 0 else 1.0

    @property
    def is_guess(self) -> bool:
        """Whether there are others and no news of any of them."""
        return self.instances > 1 and self.heard == 0

    def with_stream(
        self, rank: int, organisation: int, tokens: float
    ) -> 'Pressure':
        """Returns the pressure once this instance has admitted a stream."""
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
    """A decaying average of tokens a second."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._at = 0.0

    def add(self, now: float, tokens: float) -> None:
        self._per_s = self.per_s(now) + tokens / RATE_WINDOW_S
        self._at = now

    def per_s(self, now: float) -> float:
        return self._per_s * math.exp((self._at - now) / RATE_WINDOW_S)


class _OwnOrganisation:
    """What an organisation holds and asks for at this instance."""

    def __init__(self) -> None:
        self.held = 0.0
        self.asked = _Rate()


class _Own:
    """What this instance knows of one service by itself."""

    def __init__(self) -> None:
        self.organisation_by_key: dict[int, _OwnOrganisation] = {}
        self.held = [0.0] * urgency_ranks.MAX_RANKS
        self.asked = [_Rate() for _ in range(urgency_ranks.MAX_RANKS)]
        self.rejected = [_Rate() for _ in range(urgency_ranks.MAX_RANKS)]

    def tally(self, now: float) -> Tally:
        count = urgency_ranks.MAX_RANKS
        while count and not self._is_told(count - 1, now):
            count -= 1
        return Tally(
            [round(tokens) for tokens in self.held[:count]],
            [round(rate.per_s(now)) for rate in self.asked[:count]],
            [round(rate.per_s(now)) for rate in self.rejected[:count]],
            self._organisations(now),
        )

    def organisation(self, key: int) -> _OwnOrganisation:
        return self.organisation_by_key.setdefault(key, _OwnOrganisation())

    def _organisations(self, now: float) -> dict[int, tuple[int, int]]:
        """Returns all that are active; forgets the others."""
        found = {}
        for key, known in list(self.organisation_by_key.items()):
            asked = known.asked.per_s(now)
            if known.held < 1.0 and asked < 1.0:
                del self.organisation_by_key[key]
                continue
            found[key] = (round(known.held), round(asked))
        return found

    def _is_told(self, rank: int, now: float) -> bool:
        return self.held[rank] >= 1.0 or self.asked[rank].per_s(now) >= 1.0


class _Heard(NamedTuple):
    at: float
    report: Report

    def tells_of(self, service: str) -> bool:
        """Whether it tells what is held of a service, perhaps nothing."""
        tally_by_service = self.report.tally_by_service
        return service in tally_by_service or (
            len(tally_by_service) < MAX_SERVICES
        )


_NOTHING = Tally([], [], [])


class _Others(NamedTuple):
    """What others tell of one service, summed at a time."""

    at: float
    tallies: tuple[Tally, ...]
    total: Tally
    age_s: float


class ServiceLoadTracker(gossip_topics.GossipTopic):
    """Sums what this instance and others tell of each service.

    :param instances: tells how many instances there are.
    """

    name = 'pressure'

    def __init__(
        self, timer: timers.TimerService, instances: Callable[[], int]
    ) -> None:
        self._timer = timer
        self._instances = instances
        self._own_by_service: dict[str, _Own] = {}
        self._heard_by_sender: dict[str, _Heard] = {}
        self._others_by_service: dict[str, _Others] = {}

    def note_asked(
        self, service: str, rank: int, organisation: int, tokens: float
    ) -> None:
        """Counts a request of a caller."""
        own = self._of(service)
        now = self._timer.now()
        own.asked[rank].add(now, tokens)
        own.organisation(organisation).asked.add(now, tokens)

    def note_rejected(self, service: str, rank: int, tokens: float) -> None:
        """Counts a request that was rejected for want of room."""
        self._of(service).rejected[rank].add(self._timer.now(), tokens)

    def hold(
        self, service: str, rank: int, organisation: int, tokens: float
    ) -> None:
        """Notes a stream that was admitted; negative tokens end one."""
        own = self._of(service)
        own.held[rank] = max(0.0, own.held[rank] + tokens)
        by_organisation = own.organisation(organisation)
        by_organisation.held = max(0.0, by_organisation.held + tokens)

    def own(self) -> bytes:
        """Returns our tallies; nothing where no service has ranks.

        An instance that is asked nothing tells so: its silence would be
        taken for the mean of the others.
        """
        if not self._own_by_service and not self._fresh():
            return b''
        now = self._timer.now()
        tally_by_service = {
            name: own.tally(now) for name, own in self._own_by_service.items()
        }
        fullest = sorted(
            tally_by_service,
            key=lambda name: -sum(tally_by_service[name].held),
        )[:MAX_SERVICES]
        told = {name: _shortened(tally_by_service[name]) for name in fullest}
        return msgspec.msgpack.encode(Report(round(now * MS_PER_S), told))

    def take(self, sender: str, data: bytes) -> None:
        """Takes another instance's tallies, unless it has sent newer ones."""
        report = msgspec.msgpack.decode(data, type=Report)
        known = self._heard_by_sender.get(sender)
        now = self._timer.now()
        if known is not None and now - known.at <= STALE_S:
            # A doubled or overtaken datagram doesn't make old news fresh.
            if report.sent_ms <= known.report.sent_ms:
                return
        self._heard_by_sender[sender] = _Heard(now, report)
        self._others_by_service.clear()

    def load(self, service: str, ranks: int, room_tokens: float) -> Pressure:
        """Returns what is believed of a service with so many ranks."""
        now = self._timer.now()
        own = self._of(service).tally(now)
        others = self._others(service)
        # Without news, the others are taken to be like ourselves.
        tallies = others.tallies or (own,)
        instances = max(1, self._instances(), len(others.tallies) + 1)
        stands_for = (instances - 1) / len(tallies)
        told = _total(tallies) if not others.tallies else others.total
        return Pressure(
            room_tokens=room_tokens,
            held=_sum(ranks, own.held, told.held, stands_for),
            asked=_sum(ranks, own.asked, told.asked, stands_for),
            rejected=_sum(ranks, own.rejected, told.rejected, stands_for),
            own_tokens=float(sum(own.held)),
            instances=instances,
            heard=len(others.tallies),
            age_s=others.age_s + now - others.at,
            held_by_organisation=_by_key(own, told, stands_for, 0),
            asked_by_organisation=_by_key(own, told, stands_for, 1),
        )

    def _others(self, service: str) -> _Others:
        """Returns what others tell; summed anew when news have come."""
        now = self._timer.now()
        known = self._others_by_service.get(service)
        if known is not None and now - known.at < SUM_AGE_S:
            return known
        fresh = [each for each in self._fresh() if each.tells_of(service)]
        tallies = tuple(
            each.report.tally_by_service.get(service, _NOTHING)
            for each in fresh
        )
        ages = [now - each.at for each in fresh]
        age_s = sum(ages) / len(ages) if ages else math.inf
        found = _Others(now, tallies, _total(tallies), age_s)
        self._others_by_service[service] = found
        return found

    def _of(self, service: str) -> _Own:
        return self._own_by_service.setdefault(service, _Own())

    def _fresh(self) -> list[_Heard]:
        oldest = self._timer.now() - STALE_S
        for sender, heard in list(self._heard_by_sender.items()):
            if heard.at < oldest:
                del self._heard_by_sender[sender]
        return list(self._heard_by_sender.values())


def _total(tallies: Sequence[Tally]) -> Tally:
    """Adds up tallies of several instances."""
    by_key: dict[int, tuple[int, int]] = {}
    for tally in tallies:
        for key, (held, asked) in tally.held_and_asked.items():
            before = by_key.get(key, (0, 0))
            by_key[key] = (before[0] + held, before[1] + asked)
    return Tally(
        _added([each.held for each in tallies]),
        _added([each.asked for each in tallies]),
        _added([each.rejected for each in tallies]),
        by_key,
    )


def _added(lists: Sequence[list[int]]) -> list[int]:
    return [
        sum(amounts) for amounts in itertools.zip_longest(*lists, fillvalue=0)
    ]


def _sum(
    ranks: int, own: Sequence[int], told: Sequence[int], stands_for: float
) -> Ranks:
    """Adds up by rank; ranks beyond the last one count as the last one."""
    total = [0.0] * ranks
    for rank, amount in enumerate(own):
        total[min(rank, ranks - 1)] += amount
    for rank, amount in enumerate(told):
        total[min(rank, ranks - 1)] += amount * stands_for
    return tuple(total)


def _by_key(
    own: Tally, told: Tally, stands_for: float, column: int
) -> dict[int, float]:
    """Adds up what organisations hold, or what they ask for."""
    total = {
        key: each[column] * stands_for
        for key, each in told.held_and_asked.items()
    }
    for key, each in own.held_and_asked.items():
        total[key] = total.get(key, 0.0) + each[column]
    return total


def _shortened(tally: Tally) -> Tally:
    """Leaves out all but the organisations that ask most."""
    largest = sorted(
        tally.held_and_asked.items(), key=lambda each: -sum(each[1])
    )
    return msgspec.structs.replace(
        tally, held_and_asked=dict(largest[:MAX_ORGANISATIONS])
    )


def organisation_key(name: str) -> int:
    """Returns a short key of an organisation."""
    digest = hashlib.blake2b(
        name.encode(), digest_size=ORGANISATION_KEY_BYTES
    ).digest()
    return int.from_bytes(digest, 'big')
