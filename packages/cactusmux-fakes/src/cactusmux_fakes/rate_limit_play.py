"""Simulates plain requests to targets that name a rate limit.

The relays, senders and limits of the fleet are real. Connections, datagrams,
targets and time are simulated without a network.
"""

import bisect
import collections
from collections.abc import Callable, Iterator
import functools
import itertools
import random

from cactusmux_base import metrics
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import immediate_news
from cactusmux_relay import load_tracker
from cactusmux_relay import plain_relay
from cactusmux_relay import rate_limit_topic
from cactusmux_relay import retry_budget
from cactusmux_relay import sending
from cactusmux_relay import soft_exchange
from cactusmux_relay import target_calls
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_routing import breakers
from gevent import pool

from . import idle_crashes
from . import plain_dialect
from . import play_timers
from . import relay_rig
from . import single_limiter

SLOTS = 64
RESPONSE_S = 0.1
OBJECTIVE_S = 0.4
TIME_LIMIT_S = 1.5
DELIVERY_S = 0.002
WINDOW_S = 4.0


class Server:
    """A target that answers each request after a fixed time.

    :ivar per_s: the rate limit that it names, ``None`` without one.
    :ivar arrived_at: when requests arrived.
    """

    def __init__(self, target_id: str) -> None:
        self.per_s: float | None = None
        self.arrived_at: list[float] = []
        self.target = targets.Target(
            id=target_id,
            service=relay_rig.PLAIN_SERVICE,
            address=f'{target_id}:80',
            zone='a',
            slots=SLOTS,
            is_leaving=False,
            born_ms=1,
        )

    def arrivals(self, since: float, until: float) -> int:
        """Returns how many requests arrived in an interval."""
        first = bisect.bisect_left(self.arrived_at, since)
        return bisect.bisect_right(self.arrived_at, until) - first

    def most_arrivals(self, since: float) -> int:
        """Returns the most arrivals in any window that begins later."""
        return max(
            (
                self.arrivals(at, at + WINDOW_S)
                for at in self.arrived_at
                if at >= since
            ),
            default=0,
        )


class _Call(target_calls.TargetCall):
    """One request to a simulated target."""

    def __init__(
        self, server: Server, timer: play_timers.PlayTimers, request_id: str
    ) -> None:
        self._server = server
        self._timer = timer
        self._request_id = request_id

    def read_head(self) -> target_calls.ResponseHead:
        self._timer.sleep(RESPONSE_S)
        headers = [
            (b'signature', b's'),
            (b'request-id', self._request_id.encode()),
        ]
        if self._server.per_s is not None:
            value = str(self._server.per_s).encode()
            headers.append((b'rate-limit', value))
        return target_calls.ResponseHead(200, tuple(headers))

    def read_body(self, max_bytes: int) -> bytes:
        return b''

    def body_chunks(self) -> Iterator[bytes]:
        return iter(())

    def close(self) -> None:
        pass


class _Connections(target_calls.TargetConnections):
    """Records arrivals in place of connecting."""

    def __init__(self, play: 'RateLimitPlay') -> None:
        self._play = play

    def call(
        self, address: str, request: target_calls.OutgoingRequest, fresh: bool
    ) -> target_calls.TargetCall:
        server = self._play.server_by_address[address]
        server.arrived_at.append(self._play.timer.now())
        value_by_name = dict(request.headers)
        request_id = value_by_name[b'request-id'].decode()
        return _Call(server, self._play.timer, request_id)


class Instance:
    """One instance with its own state and relay."""

    def __init__(self, place: int, play: 'RateLimitPlay') -> None:
        timer = play.timer
        rng = random.Random(place)
        self.name = f'instance-{place:03}'
        self.metric = metrics.MemoryMetrics()
        registry = target_registry.TargetRegistry()
        present = [each.target for each in play.server_by_id.values()]
        registry.replace(present, {})
        self._immediate = immediate_news.ImmediateNews(
            timer,
            play.rng,
            lambda: play.peers_of(place),
            play.send_from(place),
        )
        self.rates = single_limiter.build_limiter(
            registry,
            timer,
            self.metric,
            place,
            play.instance_count,
            self._immediate.request_send,
        )
        self.topic = rate_limit_topic.RateLimitTopic(
            self.rates.limits, self.rates.demand, timer, rng
        )
        target_backoffs = backoffs.Backoffs(registry, timer, self.metric)
        self.relay = plain_relay.PlainRelay(
            registry,
            load_tracker.LoadTracker(timer),
            sending.Sender(
                _Connections(play),
                plain_dialect.PlainDialect(),
                timer,
                target_backoffs,
                registry,
                self.rates,
            ),
            retry_budget.RetryBudget(timer, 1.0, 1e6, 10.0),
            breakers.Breakers(timer, rng, self.metric, lambda lost: True),
            timer,
            self.metric,
            rng,
            'a',
            target_backoffs,
            rates=self.rates,
            crashes=idle_crashes.build_crashes(registry, timer, self.metric),
        )


class RateLimitPlay:
    """A fleet, its targets and callers.

    :param rate: requests a second of all callers.
    :param loss: fraction of datagrams that are lost.
    :ivar served: number of requests that were answered.
    :ivar refused_by_reason: number of requests that were refused.
    :ivar refused_after_s: how long these waited.
    """

    def __init__(
        self,
        instances: int,
        servers: int,
        rate: float,
        seed: int = 1,
        loss: float = 0.0,
    ) -> None:
        self.timer = play_timers.PlayTimers()
        self.rng = random.Random(seed)
        self.instance_count = instances
        self._used = instances
        self._rate = rate
        self._loss = loss
        self._numbers = itertools.count()
        self._callers = pool.Group()
        self.served = 0
        self.refused_after_s: list[float] = []
        self.refused_by_reason: collections.Counter[str] = (
            collections.Counter()
        )
        self.server_by_id = {
            name: Server(name)
            for name in (f's{number}' for number in range(servers))
        }
        self.server_by_address = {
            each.target.address: each for each in self.server_by_id.values()
        }
        self.instances = [Instance(each, self) for each in range(instances)]
        self._is_small = instances - 1 <= soft_exchange.MAX_BROADCAST_PEERS
        self._gossip_period_s = soft_exchange.PERIOD_S
        if not self._is_small:
            self._gossip_period_s = soft_exchange.SAMPLE_PERIOD_S
        for place in range(instances):
            self.timer.after(
                self.rng.uniform(0.0, self._gossip_period_s),
                functools.partial(self._start_gossip, place),
            )
        self._schedule_next()

    def run(self, seconds: float) -> None:
        """Advances the simulation by some seconds."""
        self.timer.play(seconds)

    def stop(self) -> None:
        """Ends all running requests."""
        self._callers.kill()

    def restart(self, place: int) -> None:
        """Replaces an instance by one that knows nothing."""
        self.instances[place] = Instance(place, self)

    def set_rate(self, rate: float) -> None:
        """Changes the rate of the callers; one request still comes before."""
        self._rate = rate

    def use_instances(self, count: int) -> None:
        """Has callers ask only the first instances."""
        self._used = count

    def _schedule_next(self) -> None:
        self.timer.after(
            self.rng.expovariate(self._rate), self._handle_arrival
        )

    def _handle_arrival(self) -> None:
        place = self.rng.randrange(self._used)
        self._callers.spawn(self._request, self.instances[place])
        self._schedule_next()

    def _request(self, instance: Instance) -> None:
        request_id = str(next(self._numbers))
        asked_at = self.timer.now()
        try:
            instance.relay.serve(
                relay_rig.plain_exchange(
                    request_id, asked_at, OBJECTIVE_S, TIME_LIMIT_S
                )
            )
            self.served += 1
        except context.RequestRefused as refused:
            self.refused_by_reason[refused.refusal] += 1
            self.refused_after_s.append(self.timer.now() - asked_at)

    def _start_gossip(self, place: int) -> None:
        self.timer.every(
            self._gossip_period_s, functools.partial(self._gossip, place)
        )

    def _gossip(self, place: int) -> None:
        peers = self.peers_of(place)
        if not self._is_small:
            peers = self.rng.sample(peers, soft_exchange.SAMPLE_SIZE)
        self._deliver(place, peers)

    def peers_of(self, place: int) -> list[str]:
        """Returns the places of all other instances, as addresses."""
        return [
            str(each) for each in range(self.instance_count) if each != place
        ]

    def send_from(self, place: int) -> Callable[[list[str]], None]:
        """Returns a function that sends the limits known to an instance."""
        return functools.partial(self._deliver, place)

    def _deliver(self, place: int, peers: list[str]) -> None:
        sender = self.instances[place]
        data = sender.topic.own()
        for peer in peers if data else ():
            if self.rng.random() >= self._loss:
                take = functools.partial(
                    self.instances[int(peer)].topic.take, sender.name, data
                )
                self.timer.after(DELIVERY_S, take)
