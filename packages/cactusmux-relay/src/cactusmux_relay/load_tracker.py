"""Tokens and requests in flight by target, of this and other instances."""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from cactusmux_base import timers

from . import cost_model
from . import path_choice
from . import soft_exchange

# For how long the loads that another instance reported count.
PEER_LOAD_LIFETIME_S = 2.0
# Time constant of the average of tokens sent between zones.
PIPE_WINDOW_S = 1.0


class InstanceLoads(NamedTuple):
    """Load in flight of one instance, as it reports it to the others.

    :ivar pipe_tokens: tokens per second between two zones, by ``ZONE ZONE``.
    """

    tokens_by_target: Mapping[str, float]
    requests_by_target: Mapping[str, int]
    pipe_tokens: Mapping[str, float]


class _PipeRate:
    """An exponentially decaying average of tokens per second."""

    def __init__(self) -> None:
        self._rate = 0.0
        self._at = 0.0

    def add(self, now: float, tokens: float) -> None:
        self._rate = max(0.0, self.rate(now) + tokens / PIPE_WINDOW_S)
        self._at = now

    def rate(self, now: float) -> float:
        return self._rate * math.exp((self._at - now) / PIPE_WINDOW_S)


class LoadTracker:
    """Sums the loads of all instances; reports of others expire."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._tokens_by_target: dict[str, float] = {}
        self._requests_by_target: dict[str, int] = {}
        self._rate_by_pipe: dict[tuple[str, str], _PipeRate] = {}
        self._loads_by_peer: dict[str, tuple[float, InstanceLoads]] = {}
        self._instances = 1

    def add(self, target_ids: Iterable[str], tokens: float) -> None:
        """Adds a request that is sent through targets."""
        for each in target_ids:
            held = self._tokens_by_target.get(each, 0.0)
            self._tokens_by_target[each] = held + tokens
            count = self._requests_by_target.get(each, 0)
            self._requests_by_target[each] = count + 1

    def remove(self, target_ids: Iterable[str], tokens: float) -> None:
        """Removes a request that was added by :meth:`add`."""
        for each in target_ids:
            count = self._requests_by_target.get(each, 0) - 1
            if count <= 0:
                self._tokens_by_target.pop(each, None)
                self._requests_by_target.pop(each, None)
                continue
            self._requests_by_target[each] = count
            self._tokens_by_target[each] -= tokens

    def record_crossings(self, path: cost_model.Path, tokens: float) -> None:
        """Adds the tokens that a path will send between zones.

        :param tokens: number of tokens; a negative number reverts a call made
            just before.
        """
        now = self._timer.now()
        for stage, following in zip(path, path[1:], strict=False):
            zones = (stage.target.zone, following.target.zone)
            if zones[0] != zones[1]:
                name = path_choice.pipe_between(*zones)
                rate = self._rate_by_pipe.setdefault(name, _PipeRate())
                rate.add(now, tokens)

    def own_loads(self) -> InstanceLoads:
        """Returns the load in flight of this instance."""
        now = self._timer.now()
        return InstanceLoads(
            self._tokens_by_target,
            self._requests_by_target,
            {
                ' '.join(name): rate.rate(now)
                for name, rate in self._rate_by_pipe.items()
                if rate.rate(now) > 1.0
            },
        )

    @property
    def instances(self) -> int:
        """Number of instances, including this one."""
        return self._instances

    def set_instances(self, count: int) -> None:
        """Sets the number of instances, including this one."""
        self._instances = count

    def record_peer_loads(self, peer: str, loads: InstanceLoads) -> None:
        """Stores the load that another instance reports of itself."""
        self._loads_by_peer[peer] = (self._timer.now(), loads)

    def all_loads(
        self, pace_by_target: Mapping[str, float]
    ) -> path_choice.Load:
        """Returns the load in flight of all instances.

        In a large fleet only a sample of the other instances is received; its
        load is extrapolated to all of them.

        :param pace_by_target: pace of slow targets, returned with the loads.
        """
        tokens = dict(self._tokens_by_target)
        requests = dict(self._requests_by_target)
        now = self._timer.now()
        pipes = {
            name: rate.rate(now) for name, rate in self._rate_by_pipe.items()
        }
        peer_loads = self._current_peer_loads()
        peers_per_report = self._peers_per_report(len(peer_loads))
        for loads in peer_loads:
            _add(tokens, loads.tokens_by_target, peers_per_report)
            _add(requests, loads.requests_by_target, peers_per_report)
            for joined, rate in loads.pipe_tokens.items():
                zone, _, other = joined.partition(' ')
                name = (zone, other)
                pipes[name] = pipes.get(name, 0.0) + rate * peers_per_report
        return path_choice.Load(tokens, requests, pipes, pace_by_target)

    def all_requests(self, target_id: str) -> int:
        """Returns the requests of all instances in flight at a target."""
        peer_requests_by_id = self.peer_requests((target_id,))
        return self.own_requests(target_id) + peer_requests_by_id[target_id]

    def own_requests(self, target_id: str) -> int:
        """Returns this instance's requests in flight at a target."""
        return self._requests_by_target.get(target_id, 0)

    def peer_requests(self, target_ids: Iterable[str]) -> dict[str, int]:
        """Returns the other instances' requests in flight at targets."""
        total = dict.fromkeys(target_ids, 0)
        peer_loads = self._current_peer_loads()
        peers_per_report = self._peers_per_report(len(peer_loads))
        for loads in peer_loads:
            reported = loads.requests_by_target
            for target_id in total:
                if target_id in reported:
                    total[target_id] += round(
                        reported[target_id] * peers_per_report
                    )
        return total

    @property
    def oldest_report_age_s(self) -> float:
        """Returns the age of the oldest report that the loads include."""
        self._current_peer_loads()
        reported_at = [
            reported_at for reported_at, _ in self._loads_by_peer.values()
        ]
        now = self._timer.now()
        return now - min(reported_at, default=now)

    @property
    def is_sampled(self) -> bool:
        """Whether only a sample of the other instances is received."""
        return self._instances - 1 > soft_exchange.MAX_BROADCAST_PEERS

    def _peers_per_report(self, reporting_peers: int) -> float:
        """Returns how many instances each reporting instance represents."""
        if not reporting_peers or not self.is_sampled:
            return 1.0
        return max(1.0, (self._instances - 1) / reporting_peers)

    def _current_peer_loads(self) -> list[InstanceLoads]:
        oldest = self._timer.now() - PEER_LOAD_LIFETIME_S
        for peer, (reported_at, _) in list(self._loads_by_peer.items()):
            if reported_at < oldest:
                del self._loads_by_peer[peer]
        return [loads for _, loads in self._loads_by_peer.values()]


def _add(total: dict, reported: Mapping, peers_per_report: float) -> None:
    for name, amount in reported.items():
        total[name] = total.get(name, 0) + amount * peers_per_report
