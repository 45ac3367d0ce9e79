"""Evidence exchanged with builds that don't know the time of sending."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import prompt_parts
from cactusmux_relay import quarantine
from cactusmux_relay import quarantine_topic
from cactusmux_relay import targets
import msgspec

KEY = prompt_parts.PartKey('drafts', '91bd3f06')
REQUEST = prompt_parts.PartKey('portal', 'request-5c1e07a2')


class EarlierCrash(msgspec.Struct, array_like=True, frozen=True):
    start: targets.Start
    age_ms: int
    service: str
    organisation_by_part: dict[str, str]


class EarlierReport(msgspec.Struct, array_like=True, frozen=True):
    crashes: list[EarlierCrash]
    served: list[quarantine_topic.PartReport]
    refused: list[quarantine_topic.PartReport]


class _Member:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.quarantine = quarantine.Quarantine(
            self.timer, metrics.MemoryMetrics()
        )
        self.topic = quarantine_topic.QuarantineTopic(
            self.quarantine, self.timer, random.Random(1)
        )


def test_earlier_builds_read_the_evidence_on_parts():
    member = _Member()
    requester = prompt_parts.Requester('almaty', (KEY,))
    member.quarantine.record_crash(requester, 'r', targets.Start('t', 1), 1.0)
    report = msgspec.msgpack.decode(member.topic.own(), type=EarlierReport)
    assert report.crashes[0].organisation_by_part == {KEY.part: 'almaty'}


def test_evidence_of_earlier_builds_quarantines_as_before():
    member = _Member()
    crashes = [
        EarlierCrash(
            targets.Start(f't{number}', 1),
            10,
            KEY.service,
            {KEY.part: 'almaty'},
        )
        for number in range(3)
    ]
    data = msgspec.msgpack.encode(EarlierReport(crashes, [], []))
    member.topic.take('earlier', data)
    assert member.quarantine.evidence.quarantined == {KEY}


def test_quarantined_request_is_known_to_an_instance_that_hears_of_it():
    one, two = _Member(), _Member()
    requester = prompt_parts.Requester('almaty', (), REQUEST)
    for number in range(3):
        one.timer.advance(1.0)
        start = targets.Start(f't{number}', 1)
        sent_at = one.timer.now() - 0.1
        one.quarantine.record_crash(requester, 'r', start, sent_at)
    two.topic.take('one', one.topic.own())
    assert two.quarantine.find(requester) == REQUEST
    other = requester._replace(organisation='astana')
    assert two.quarantine.find(other) is None
