"""One run of a request on a path of stages: prefill, then decode."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from cactusmux_relay import cost_model
import simpy

from . import stages


class Pool(NamedTuple):
    """The resources used by runs; each direction between zones has a pipe."""

    env: simpy.Environment
    stage_by_id: Mapping[str, stages.Stage]
    pipe_by_zones: Mapping[tuple[str, str], stages.Pipe]


class Run:
    """A sequence on its path, with callbacks for tokens and its end.

    :ivar context_tokens: tokens in the KV cache so far.
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

        :param context_tokens: tokens to prefill before the first token.
        :param on_end: called with whether all tokens were generated.
        """
        self._pool = pool
        self.path = path
        self.context_tokens = context_tokens
        self._remaining = answer_tokens
        self._on_token = on_token
        self._on_end = on_end
        self.is_ended = False

    def start(self) -> str | None:
        """Starts prefill, or returns the id of a stage without capacity."""
        for part in self.path:
            stage = self._pool.stage_by_id[part.target.id]
            held = stage.target.layers
            holds = held.first <= part.layers.first and (
                part.layers.end <= held.end
            )
            free = stage.kv_cache_tokens - stage.used_tokens
            if stage.is_lost or not holds or free < self.context_tokens:
                return part.target.id
        self._add_tokens(self.context_tokens)
        self._prefill(0)
        return None

    def abort(self) -> None:
        """Ends the run before its last token."""
        self._end(False)

    def uses_target(self, target_id: str) -> bool:
        """Returns whether the path contains a target."""
        return any(part.target.id == target_id for part in self.path)

    def _stage(self, place: int) -> stages.Stage:
        return self._pool.stage_by_id[self.path[place].target.id]

    def _add_tokens(self, tokens: float) -> None:
        for place in range(len(self.path)):
            self._stage(place).used_tokens += tokens

    def _prefill(self, place: int) -> None:
        if self.is_ended:
            return
        if place == len(self.path):
            self._finish_token()
            return
        self._stage(place).prefill(
            self,
            self.path[place].layers.size,
            self.context_tokens,
            lambda: self._continue_at_next(
                place, self.context_tokens, self._prefill
            ),
        )

    def _decode(self, place: int) -> None:
        if self.is_ended:
            return
        if place == len(self.path):
            self._finish_token()
            return
        self._stage(place).decode(
            self,
            self.path[place].layers.size,
            lambda: self._continue_at_next(place, 1.0, self._decode),
        )

    def _continue_at_next(
        self, place: int, tokens: float, continuation: Callable[[int], None]
    ) -> None:
        """Continues at the next stage, through a pipe if in another zone."""
        following = place + 1
        if following < len(self.path):
            zone = self.path[place].target.zone
            other = self.path[following].target.zone
            if zone != other:
                pipe = self._pool.pipe_by_zones[zone, other]
                pipe.transfer(tokens, lambda: continuation(following))
                return
        continuation(following)

    def _finish_token(self) -> None:
        self._add_tokens(1.0)
        self.context_tokens += 1.0
        self._remaining -= 1
        self._on_token()
        if self.is_ended:
            return
        if self._remaining <= 0:
            self._end(True)
            return
        if any(
            self._is_over_capacity(place) for place in range(len(self.path))
        ):
            self.abort()
            return
        self._decode(0)

    def _is_over_capacity(self, place: int) -> bool:
        stage = self._stage(place)
        return stage.used_tokens > stage.kv_cache_tokens

    def _end(self, is_whole: bool) -> None:
        if self.is_ended:
            return
        self.is_ended = True
        self._add_tokens(-self.context_tokens)
        self._on_end(is_whole)
