"""Simulated stages that work in passes, and pipes between zones."""

from collections.abc import Callable, Generator
from typing import NamedTuple, Protocol

from cactusmux_relay import cost_model
from cactusmux_relay import desired_state
from cactusmux_relay import targets
import simpy

S_PER_MS = 0.001
# Overhead of a pass, including the transfer to the next stage in the zone.
PASS_OVERHEAD_S = 0.0001
MAX_INTERLEAVED_TOKENS = 1.0


class Sequence(Protocol):
    """A request while engines process it.

    :ivar context_tokens: tokens in the KV cache so far.
    """

    context_tokens: float
    is_ended: bool


class _Prefill:
    """A pending prefill of a prompt, or of tokens to recompute."""

    __slots__ = ('sequence', 'layers', 'left', 'done')

    def __init__(
        self,
        sequence: Sequence,
        layers: int,
        tokens: float,
        done: Callable[[], None],
    ) -> None:
        self.sequence = sequence
        self.layers = layers
        self.left = tokens
        self.done = done


class _DecodeStep(NamedTuple):
    sequence: Sequence
    layers: int
    done: Callable[[], None]


class Stage:
    """One card; each pass runs all pending decode steps and a prefill chunk.

    :ivar used_tokens: KV cache tokens of all requests on this stage.
    :ivar pace: slowdown factor, 1 is usual, 2 twice as slow.
    """

    def __init__(
        self,
        env: simpy.Environment,
        engine: desired_state.Engine,
        chunk_tokens: int,
        target: targets.Target,
    ) -> None:
        self._env = env
        self._engine = engine
        self._chunk_tokens = chunk_tokens
        self._card = engine.card_by_name[target.card]
        self.target = target
        self.pace = 1.0
        self.is_lost = False
        self.used_tokens = 0.0
        self._prefills: list[_Prefill] = []
        self._decode_steps: list[_DecodeStep] = []
        self._work = env.event()
        env.process(self._run())

    @property
    def kv_cache_tokens(self) -> float:
        """Returns the KV cache capacity in tokens beside the layers held."""
        size = self.target.layers.size
        return cost_model.kv_cache_tokens(self._engine, self._card, size)

    def prefill(
        self,
        sequence: Sequence,
        layers: int,
        tokens: float,
        done: Callable[[], None],
    ) -> None:
        """Queues the prefill of tokens and calls ``done`` at its end."""
        self._prefills.append(_Prefill(sequence, layers, tokens, done))
        self._wake()

    def decode(
        self, sequence: Sequence, layers: int, done: Callable[[], None]
    ) -> None:
        """Queues one decode step and calls ``done`` at its end."""
        self._decode_steps.append(_DecodeStep(sequence, layers, done))
        self._wake()

    def _wake(self) -> None:
        if not self._work.triggered:
            self._work.succeed()

    def _run(self) -> Generator[simpy.Event, None, None]:
        while not self.is_lost:
            if not self._prefills and not self._decode_steps:
                self._work = self._env.event()
                yield self._work
                continue
            decode_steps = self._decode_steps
            self._decode_steps = []
            pass_s = (
                PASS_OVERHEAD_S
                + self._decode_s(decode_steps)
                + self._prefill_chunk_s()
            )
            yield self._env.timeout(pass_s)
            if self.is_lost:
                return
            self._finish(decode_steps)

    def _decode_s(self, decode_steps: list[_DecodeStep]) -> float:
        if not decode_steps:
            return 0.0
        context = sum(each.sequence.context_tokens for each in decode_steps)
        step_ms = cost_model.decode_step_ms(
            self._engine,
            self._card,
            max(each.layers for each in decode_steps),
            len(decode_steps),
            context,
        )
        return step_ms * self.pace * S_PER_MS

    def _prefill_chunk_s(self) -> float:
        """Takes a chunk from the oldest prefills; returns its seconds."""
        self._prefills = [
            each for each in self._prefills if not each.sequence.is_ended
        ]
        left = float(self._chunk_tokens)
        prefill_ms = 0.0
        for each in self._prefills:
            taken = min(left, each.left)
            each.left -= taken
            left -= taken
            prefill_ms += cost_model.prefill_ms(
                self._engine, self._card, each.layers, taken
            )
            if left <= 0:
                break
        return prefill_ms * self.pace * S_PER_MS

    def _finish(self, decode_steps: list[_DecodeStep]) -> None:
        done = [each for each in self._prefills if each.left <= 0]
        self._prefills = [each for each in self._prefills if each.left > 0]
        for prefill in done:
            prefill.done()
        for step in decode_steps:
            step.done()


class Pipe:
    """Transfers prompts between two zones, one after another.

    Single tokens are interleaved with the chunks of a prompt.
    """

    def __init__(
        self,
        env: simpy.Environment,
        tokens_per_s: float,
        delay_s: float,
    ) -> None:
        self._env = env
        self._tokens_per_s = tokens_per_s
        self._delay_s = delay_s
        self._free_at = 0.0

    def transfer(self, tokens: float, done: Callable[[], None]) -> None:
        """Calls ``done`` when the tokens have arrived."""
        if tokens <= MAX_INTERLEAVED_TOKENS:
            at = self._env.now + tokens / self._tokens_per_s + self._delay_s
            call_after(self._env, at, done)
            return
        begin = max(self._env.now, self._free_at)
        self._free_at = begin + tokens / self._tokens_per_s
        call_after(self._env, self._free_at + self._delay_s, done)


def call_after(
    env: simpy.Environment, at: float, done: Callable[[], None]
) -> None:
    """Calls ``done`` at a time, or at once if it is past."""
    waited = env.timeout(max(0.0, at - env.now))
    waited.callbacks.append(lambda _event: done())
