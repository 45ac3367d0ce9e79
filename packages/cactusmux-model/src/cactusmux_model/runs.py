"""One run of a request on a path of stages: reading, then token by token."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from cactusmux_relay import cost_model
import simpy

from . import stages


class Pool(NamedTuple):
    """What runs pass through; each direction between zones has a pipe."""

    env: simpy.Environment
    stage_by_id: Mapping[str, stages.Stage]
    pipe_by_zones: Mapping[tuple[str, str], stages.Pipe]


class Run:
    """A sequence on its path; ``on_token`` and ``on_end`` tell of it.

    :ivar context_tokens: in memory so far.
    """

    def __init__(
        self,
        pool: Pool,
        path: cost_model.Path,
        context_tokens: float,
        answer_tokens: int,
        on_token: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        """Prepares a run.

        :param context_tokens: to read before the first token.
        :param on_end: told whether all tokens were made.
        """
        self._pool = pool
        self.path = path
        self.context_tokens = context_tokens
        self._left = answer_tokens
        self._on_token = on_token
        self._on_end = on_end
        self.is_ended = False

    def start(self) -> str | None:
        """Begins to read; returns the id of a stage without room instead."""
        for part in self.path:
            stage = self._pool.stage_by_id[part.target.id]
            held = stage.target.layers
            holds = held.first <= part.layers.first and (
                part.layers.end <= held.end
            )
            free = stage.kv_cache_tokens - stage.used_tokens
            if stage.is_lost or not holds or free < self.context_tokens:
                return part.target.id
        self._take(self.context_tokens)
        self._read(0)
        return None

    def abort(self) -> None:
        """Ends the run before its last token."""
        self._end(False)

    def uses_target(self, target_id: str) -> bool:
        """Whether the run depends on a target."""
        return any(part.target.id == target_id for part in self.path)

    def _stage(self, place: int) -> stages.Stage:
        return self._pool.stage_by_id[self.path[place].target.id]

    def _take(self, tokens: float) -> None:
        for place in range(len(self.path)):
            self._stage(place).used_tokens += tokens

    def _read(self, place: int) -> None:
        if self.is_ended:
            return
        if place == len(self.path):
            self._made_token()
            return
        self._stage(place).prefill(
            self,
            self.path[place].layers.size,
            self.context_tokens,
            lambda: self._carry(place, self.context_tokens, self._read),
        )

    def _write(self, place: int) -> None:
        if self.is_ended:
            return
        if place == len(self.path):
            self._made_token()
            return
        self._stage(place).decode(
            self,
            self.path[place].layers.size,
            lambda: self._carry(place, 1.0, self._write),
        )

    def _carry(
        self, place: int, tokens: float, go_on: Callable[[int], None]
    ) -> None:
        """Goes on at the next stage, through a pipe into another zone."""
        following = place + 1
        if following < len(self.path):
            zone = self.path[place].target.zone
            other = self.path[following].target.zone
            if zone != other:
                pipe = self._pool.pipe_by_zones[zone, other]
                pipe.transfer(tokens, lambda: go_on(following))
                return
        go_on(following)

    def _made_token(self) -> None:
        self._take(1.0)
        self.context_tokens += 1.0
        self._left -= 1
        self._on_token()
        if self.is_ended:
            return
        if self._left <= 0:
            self._end(True)
            return
        if any(self._lacks_room(place) for place in range(len(self.path))):
            self.abort()
            return
        self._write(0)

    def _lacks_room(self, place: int) -> bool:
        stage = self._stage(place)
        return stage.used_tokens > stage.kv_cache_tokens

    def _end(self, is_whole: bool) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        self._take(-self.context_tokens)
        self._on_end(is_whole)
