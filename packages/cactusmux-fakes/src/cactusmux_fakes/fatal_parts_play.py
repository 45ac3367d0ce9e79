"""Simulates a fleet whose targets end on one part of a prompt.

Instances exchange gossip by datagrams that may be lost, and keep the real
evidence. There are no sockets and no paths: a request goes to a random
target that is up, and time comes from a manual timer. Targets end on the
fatal part some time after the head of their answer has come, or before it.
"""

import functools
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import immediate_news
from cactusmux_relay import prompt_parts
from cactusmux_relay import quarantine
from cactusmux_relay import quarantine_topic
from cactusmux_relay import soft_exchange
from cactusmux_relay import targets

SERVICE = 'drafts'
ORGANISATIONS = ('almaty', 'astana', 'lima')
FATAL_PART = 'fatal'
# Times from a send until its target begins to write, from then until it ends
# on the fatal part, and until a sound request counts as served.
FIRST_TOKEN_S = 0.2
END_S = 0.07
SERVED_S = 1.0
DOWN_S = 5.0
DELIVERY_S = 0.002
START_WINDOW_S = 0.3


class Send(NamedTuple):
    """A request with the fatal part that reached a target."""

    at: float
    instance: str


class Outcome(NamedTuple):
    """What happened to the sound requests of an interval."""

    asked: int
    refused: int


class _Waiting(NamedTuple):
    """A request that was sent to a target and has no answer yet."""

    member: '_Member'
    requester: prompt_parts.Requester
    sent_at: float


class _Running(NamedTuple):
    """A request on which a target has begun to write."""

    member: '_Member'
    requester: prompt_parts.Requester
    begun_at: float

    @property
    def sent_at(self) -> float:
        """When the request was sent, in monotonic seconds."""
        return self.begun_at - FIRST_TOKEN_S


class _Member:
    """One instance."""

    def __init__(self, fleet: 'FatalPartsPlay', name: str) -> None:
        self.name = name
        self.quarantine = quarantine.Quarantine(
            fleet.timer, metrics.MemoryMetrics(), self._request_send
        )
        self.quarantine.start()
        self.topic = quarantine_topic.QuarantineTopic(
            self.quarantine, fleet.timer, fleet.rng
        )
        self._immediate = immediate_news.ImmediateNews(
            fleet.timer,
            fleet.rng,
            lambda: [each for each in fleet.member_by_name if each != name],
            lambda peers: fleet.deliver(self, peers),
        )
        self._fleet = fleet
        fleet.timer.after(
            fleet.rng.uniform(0.0, soft_exchange.SAMPLE_PERIOD_S),
            self._start_gossip,
        )

    def _start_gossip(self) -> None:
        self._fleet.timer.every(
            soft_exchange.SAMPLE_PERIOD_S, self._send_gossip
        )

    def _request_send(self) -> None:
        self._immediate.request_send()

    def _send_gossip(self) -> None:
        peers = list(self._fleet.member_by_name)
        count = min(soft_exchange.SAMPLE_SIZE, len(peers))
        self._fleet.deliver(self, self._fleet.rng.sample(peers, count))


class FatalPartsPlay:
    """The instances, the targets and what reached them.

    :param has_heads: whether the head of an answer comes before a target
        ends on the fatal part.
    :ivar fatal_sends: requests with the fatal part, by time.
    :ivar ended_at: when targets ended on it.
    """

    def __init__(
        self,
        size: int,
        target_count: int,
        seed: int,
        loss: float = 0.1,
        has_heads: bool = True,
    ) -> None:
        self.timer = timers.ManualTimers()
        self.rng = random.Random(seed)
        self._loss = loss
        self._has_heads = has_heads
        self.member_by_name: dict[str, _Member] = {}
        for index in range(size):
            self.add_instance(f'instance-{index:03}')
        self._born_ms = 0
        self._may_start = True
        self._start_by_id: dict[str, targets.Start] = {}
        for index in range(target_count):
            self._start_target(f't{index:03}')
        self._waiting_by_id: dict[str, list[_Waiting]] = {}
        self._running_by_id: dict[str, list[_Running]] = {}
        self.fatal_sends: list[Send] = []
        self.ended_at: list[float] = []
        self._asked = 0
        self._refused = 0

    def add_instance(self, name: str) -> None:
        """Starts an instance that knows nothing."""
        self.member_by_name[name] = _Member(self, name)

    def deliver(self, sender: _Member, peers: list[str]) -> None:
        """Sends the evidence of an instance to others; some is lost."""
        data = sender.topic.own()
        if not data:
            return
        for name in peers:
            receiver = self.member_by_name[name]
            if receiver is sender or self.rng.random() < self._loss:
                continue
            take = functools.partial(receiver.topic.take, sender.name, data)
            self.timer.after(DELIVERY_S, take)

    def every(self, rate: float, *parts: str) -> None:
        """Sends requests with these parts at a rate, each with others."""
        self.timer.after(
            self.rng.expovariate(rate),
            functools.partial(self._arrive, rate, parts),
        )

    def play(self, seconds: float) -> Outcome:
        """Plays an interval; returns what became of the sound requests."""
        self._asked = self._refused = 0
        self.timer.advance(seconds)
        return Outcome(self._asked, self._refused)

    def end_targets(self, share: float) -> None:
        """Ends a share of the targets at one moment, for another reason."""
        ids = sorted(self._start_by_id)
        for target_id in self.rng.sample(ids, int(share * len(ids))):
            self._end(target_id)

    def served_at(self, part: str) -> list[float]:
        """Returns when each instance believes a part was last served."""
        key = prompt_parts.PartKey(SERVICE, part)
        return [
            each.quarantine.evidence.served_at(key)
            for each in self.member_by_name.values()
        ]

    def stop_targets(self) -> None:
        """Ends all targets; they don't start again."""
        self.end_targets(1.0)
        self._may_start = False

    def _arrive(self, rate: float, parts: tuple[str, ...]) -> None:
        self.every(rate, *parts)
        name = self.rng.choice(list(self.member_by_name))
        keys = tuple(prompt_parts.PartKey(SERVICE, each) for each in parts)
        organisation = self.rng.choice(ORGANISATIONS)
        self._send(
            self.member_by_name[name],
            prompt_parts.Requester(organisation, keys),
            sends_left=2,
        )

    def _send(
        self,
        member: _Member,
        requester: prompt_parts.Requester,
        sends_left: int,
    ) -> None:
        is_fatal = any(key.part == FATAL_PART for key in requester.keys)
        self._asked += not is_fatal
        key = member.quarantine.find(requester)
        if key is not None or not self._start_by_id:
            self._refused += not is_fatal
            if key is not None:
                member.quarantine.record_refusal('r', key)
            return
        if is_fatal:
            self.fatal_sends.append(Send(self.timer.now(), member.name))
        start = self._start_by_id[self.rng.choice(sorted(self._start_by_id))]
        waiting = _Waiting(member, requester, self.timer.now())
        self._waiting_by_id.setdefault(start.target_id, []).append(waiting)
        self.timer.after(
            FIRST_TOKEN_S,
            functools.partial(self._begin, waiting, start, sends_left - 1),
        )

    def _begin(
        self, waiting: _Waiting, start: targets.Start, sends_left: int
    ) -> None:
        """Begins to write, or sends again if the target has ended."""
        target_id = start.target_id
        member, requester, _ = waiting
        if self._start_by_id.get(target_id) != start:
            if sends_left:
                self._repeat(member, requester, sends_left)
            return
        is_fatal = any(key.part == FATAL_PART for key in requester.keys)
        if is_fatal and not self._has_heads:
            self._end_fatally(start)
            if sends_left:
                self._repeat(member, requester, sends_left)
            return
        self._waiting_by_id[target_id].remove(waiting)
        running = _Running(member, requester, self.timer.now())
        self._running_by_id.setdefault(target_id, []).append(running)
        if is_fatal:
            self.timer.after(
                END_S, functools.partial(self._end_fatally, start)
            )
        else:
            self.timer.after(
                SERVED_S, functools.partial(self._serve, start, running)
            )

    def _repeat(
        self,
        member: _Member,
        requester: prompt_parts.Requester,
        sends_left: int,
    ) -> None:
        """Sends a request again, once its parts allow it."""
        if not member.quarantine.may_repeat(requester):
            return
        delay_s = member.quarantine.repeat_delay_s(requester.parts)
        if delay_s <= 0.0:
            self._send(member, requester, sends_left)
            return
        self.timer.after(
            delay_s,
            functools.partial(self._repeat, member, requester, sends_left),
        )

    def _serve(self, start: targets.Start, running: _Running) -> None:
        if self._start_by_id.get(start.target_id) == start:
            running.member.quarantine.record_served(running.requester)

    def _end_fatally(self, start: targets.Start) -> None:
        if self._start_by_id.get(start.target_id) == start:
            self.ended_at.append(self.timer.now())
            self._end(start.target_id)

    def _end(self, target_id: str) -> None:
        """Ends a target; instances suspect what it had just begun."""
        start = self._start_by_id.pop(target_id)
        now = self.timer.now()
        for running in self._running_by_id.pop(target_id, []):
            if now - running.begun_at <= START_WINDOW_S:
                running.member.quarantine.record_crash(
                    running.requester, 'r', start, running.sent_at
                )
        for waiting in self._waiting_by_id.pop(target_id, []):
            known = waiting.member.quarantine
            known.record_crash(
                known.without_proven(waiting.requester),
                'r',
                start,
                waiting.sent_at,
            )
        self.timer.after(
            DOWN_S, functools.partial(self._start_target, target_id)
        )

    def _start_target(self, target_id: str) -> None:
        if not self._may_start:
            return
        self._born_ms += 1
        self._start_by_id[target_id] = targets.Start(target_id, self._born_ms)
