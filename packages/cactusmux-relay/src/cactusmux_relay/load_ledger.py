"""Tokens and requests in flight by target: our own and other instances'."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cactusmux_base import timers

# What another instance told is believed for so long after it was told.
PEER_LOAD_AGE_S = 2.0


class _PeerLoads(NamedTuple):
    told_at: float
    tokens_by_target: Mapping[str, float]
    requests_by_target: Mapping[str, int]


class LoadLedger:
    """Sums loads; what other instances told ages out."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self.tokens_by_target: dict[str, float] = {}
        self.requests_by_target: dict[str, int] = {}
        self._loads_by_peer: dict[str, _PeerLoads] = {}

    def add(self, target_ids: Iterable[str], tokens: float) -> None:
        """Notes a request that is sent through targets."""
        for each in target_ids:
            held = self.tokens_by_target.get(each, 0.0)
            self.tokens_by_target[each] = held + tokens
            count = self.requests_by_target.get(each, 0)
            self.requests_by_target[each] = count + 1

    def remove(self, target_ids: Iterable[str], tokens: float) -> None:
        """Notes the end of a request noted by :meth:`add`."""
        for each in target_ids:
            count = self.requests_by_target.get(each, 0) - 1
            if count <= 0:
                self.tokens_by_target.pop(each, None)
                self.requests_by_target.pop(each, None)
                continue
            self.requests_by_target[each] = count
            self.tokens_by_target[each] -= tokens

    def note_peer(
        self,
        peer: str,
        tokens_by_target: Mapping[str, float],
        requests_by_target: Mapping[str, int],
    ) -> None:
        """Takes what another instance says of its own load."""
        self._loads_by_peer[peer] = _PeerLoads(
            self._timer.now(), tokens_by_target, requests_by_target
        )

    def all_tokens(self) -> dict[str, float]:
        """Returns tokens in use by target, of all instances."""
        total = dict(self.tokens_by_target)
        for loads in self._fresh():
            for target_id, tokens in loads.tokens_by_target.items():
                total[target_id] = total.get(target_id, 0.0) + tokens
        return total

    def all_requests(self, target_id: str) -> int:
        """Returns requests under way at a target, of all instances."""
        total = self.requests_by_target.get(target_id, 0)
        for loads in self._fresh():
            total += loads.requests_by_target.get(target_id, 0)
        return total

    def _fresh(self) -> list[_PeerLoads]:
        oldest = self._timer.now() - PEER_LOAD_AGE_S
        for peer, loads in list(self._loads_by_peer.items()):
            if loads.told_at < oldest:
                del self._loads_by_peer[peer]
        return list(self._loads_by_peer.values())
