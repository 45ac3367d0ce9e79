"""Shares the evidence on parts of prompts among instances by gossip.

Each instance sees few of the ends of targets, so that none could tell a
fatal part by itself. Evidence is forwarded with its age, and so reaches all
instances in a few datagrams, also those that have just started or can't
reach the store.
"""

from collections.abc import Mapping
import random

from cactusmux_base import decoding
from cactusmux_base import timers
import msgspec

from . import gossip_topics
from . import part_evidence
from . import prompt_parts
from . import quarantine
from . import targets

# Ends of targets in one message; each takes about 100 bytes.
MAX_CRASHES_PER_MESSAGE = 16
MAX_PARTS_PER_MESSAGE = 16
# An end that quarantines nothing is sent for this time.
SUSPICION_SENT_S = 30.0
# Ends that are sent for each quarantined part.
CRASHES_PER_PART = part_evidence.MIN_CRASHES_OF_PROVEN
MS_PER_S = 1000.0


class CrashReport(msgspec.Struct, array_like=True, frozen=True):
    """A target that ended just after it had begun to write.

    :ivar organisation_by_part: the parts of the requests, all to one service.
    :ivar sent_age_ms_by_part: how long ago the requests were sent; builds
        before leave it out.
    """

    start: targets.Start
    age_ms: int
    service: str
    organisation_by_part: dict[str, str]
    sent_age_ms_by_part: dict[str, int] = {}


class PartReport(msgspec.Struct, array_like=True, frozen=True):
    """A part, and how long ago a request with it was served or refused."""

    service: str
    part: str
    age_ms: int


class EvidenceReport(msgspec.Struct, array_like=True, frozen=True):
    """What an instance knows, first-hand or not.

    :ivar served: suspect parts that were served.
    :ivar refused: quarantined parts for which requests were refused.
    """

    crashes: list[CrashReport]
    served: list[PartReport]
    refused: list[PartReport]


class QuarantineTopic(gossip_topics.GossipTopic):
    """Sends the newest evidence, of this instance and forwarded."""

    name = 'parts'

    def __init__(
        self,
        parts: quarantine.Quarantine,
        timer: timers.TimerService,
        rng: random.Random,
    ) -> None:
        self._quarantine = parts
        self._evidence = parts.evidence
        self._timer = timer
        self._rng = rng
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoding.msgpack_decoder(EvidenceReport)

    def own(self) -> bytes:
        """Returns the evidence on quarantined and suspect parts, encoded."""
        now = self._timer.now()
        crashes = self._selected_crashes(now)
        if not crashes and not self._evidence.cleared_at_by_key:
            return b''
        report = EvidenceReport(
            [_crash_report(each, now) for each in crashes],
            _part_reports(self._served_at_by_key(crashes), now),
            _part_reports(self._evidence.requested_at_by_key, now),
        )
        return self._encoder.encode(report)

    def take(self, sender: str, data: bytes) -> None:
        """Adds the evidence of a peer."""
        now = self._timer.now()
        report = self._decoder.decode(data)
        for crash in report.crashes[:MAX_CRASHES_PER_MESSAGE]:
            self._quarantine.merge_crash(_crash(crash, now))
        for served in report.served[:MAX_PARTS_PER_MESSAGE]:
            self._quarantine.merge_served(
                _key(served), _time(served.age_ms, now)
            )
        for refused in report.refused[:MAX_PARTS_PER_MESSAGE]:
            self._evidence.record_request(
                _key(refused), _time(refused.age_ms, now)
            )

    def _selected_crashes(self, now: float) -> list[part_evidence.Crash]:
        """Returns what is sent: the newest half, and a sample of the rest."""
        needed = {
            crash.start
            for key in self._evidence.quarantined
            for crash in self._evidence.crashes(key)[-CRASHES_PER_PART:]
        }
        found = [
            each
            for each in self._evidence.all_crashes
            if each.start in needed or now - each.at < SUSPICION_SENT_S
        ]
        if len(found) <= MAX_CRASHES_PER_MESSAGE:
            return found
        found.sort(key=lambda each: -each.at)
        newest = MAX_CRASHES_PER_MESSAGE // 2
        rest = self._rng.sample(
            found[newest:], MAX_CRASHES_PER_MESSAGE - newest
        )
        return found[:newest] + rest

    def _served_at_by_key(
        self, crashes: list[part_evidence.Crash]
    ) -> dict[prompt_parts.PartKey, float]:
        """Returns when the parts of these ends were served, where known."""
        keys = {
            key: None for each in crashes for key in each.organisation_by_key
        }
        found = {key: self._evidence.served_at(key) for key in keys}
        found.update(self._evidence.cleared_at_by_key)
        return {
            key: at for key, at in found.items() if at > part_evidence.NEVER
        }


def _crash_report(crash: part_evidence.Crash, now: float) -> CrashReport:
    services = [key.service for key in crash.organisation_by_key]
    return CrashReport(
        crash.start,
        _age_ms(crash.at, now),
        services[0],
        {
            key.part: organisation
            for key, organisation in crash.organisation_by_key.items()
        },
        {
            key.part: _age_ms(sent_at, now)
            for key, sent_at in crash.sent_at_by_key.items()
        },
    )


def _crash(report: CrashReport, now: float) -> part_evidence.Crash:
    return part_evidence.Crash(
        report.start,
        _time(report.age_ms, now),
        {
            prompt_parts.PartKey(report.service, part): organisation
            for part, organisation in report.organisation_by_part.items()
        },
        sent_at_by_key={
            prompt_parts.PartKey(report.service, part): _time(age_ms, now)
            for part, age_ms in report.sent_age_ms_by_part.items()
        },
    )


def _part_reports(
    at_by_key: Mapping[prompt_parts.PartKey, float], now: float
) -> list[PartReport]:
    """Returns the parts with the latest times."""
    newest = sorted(at_by_key.items(), key=lambda each: -each[1])
    return [
        PartReport(key.service, key.part, _age_ms(at, now))
        for key, at in newest[:MAX_PARTS_PER_MESSAGE]
    ]


def _key(report: PartReport) -> prompt_parts.PartKey:
    return prompt_parts.PartKey(report.service, report.part)


def _age_ms(at: float, now: float) -> int:
    return int((now - at) * MS_PER_S)


def _time(age_ms: int, now: float) -> float:
    return now - max(0, age_ms) / MS_PER_S
