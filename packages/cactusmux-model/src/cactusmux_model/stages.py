"""Stages that work in passes, and pipes between zones."""

from collections.abc import Callable, Generator
from typing import NamedTuple, Protocol

from cactusmux_relay import cost_model
from cactusmux_relay import desired_state
from cactusmux_relay import targets
import simpy

S_PER_MS = 0.001
# What a pass takes besides, with the way to the next stage in the zone.
HOP_S = 0.0001
SMALL_TOKENS = 1.0


class Sequence(Protocol):
    """A request while engines work on it.

    :ivar context_tokens: in memory so far.
    """

    context_tokens: float
    is_ended: bool


class _Reading:
    """A prompt, or what has been written again, that a stage reads."""

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


class _Writing(NamedTuple):
    sequence: Sequence
    layers: int
    done: Callable[[], None]


class Stage:
    """One card: takes all waiting token steps and a chunk of reading.

    :ivar used_tokens: in memory, of all requests that pass through.
    :ivar pace: 1 is usual, 2 twice as slow.
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
        self._reading: list[_Reading] = []
        self._writing: list[_Writing] = []
        self._work = env.event()
        env.process(self._run())

    @property
    def kv_cache_tokens(self) -> float:
        """Returns how many tokens fit beside the layers held."""
        size = self.target.layers.size
        return cost_model.kv_cache_tokens(self._engine, self._card, size)

    def prefill(
        self,
        sequence: Sequence,
        layers: int,
        tokens: float,
        done: Callable[[], None],
    ) -> None:
        """Reads tokens through some layers, then calls ``done``."""
        self._reading.append(_Reading(sequence, layers, tokens, done))
        self._wake()

    def decode(
        self, sequence: Sequence, layers: int, done: Callable[[], None]
    ) -> None:
        """Makes one token step through some layers, then calls ``done``."""
        self._writing.append(_Writing(sequence, layers, done))
        self._wake()

    def _wake(self) -> None:
        if not self._work.triggered:
            self._work.succeed()

    def _run(self) -> Generator[simpy.Event, None, None]:
        while not self.is_lost:
            if not self._reading and not self._writing:
                self._work = self._env.event()
                yield self._work
                continue
            writing = self._writing
            self._writing = []
            pass_s = HOP_S + self._write_s(writing) + self._read_chunk()
            yield self._env.timeout(pass_s)
            if self.is_lost:
                return
            self._finish(writing)

    def _write_s(self, writing: list[_Writing]) -> float:
        if not writing:
            return 0.0
        context = sum(each.sequence.context_tokens for each in writing)
        step_ms = cost_model.decode_step_ms(
            self._engine,
            self._card,
            max(each.layers for each in writing),
            len(writing),
            context,
        )
        return step_ms * self.pace * S_PER_MS

    def _read_chunk(self) -> float:
        """Takes a chunk off the oldest prompts; returns its seconds."""
        self._reading = [
            each for each in self._reading if not each.sequence.is_ended
        ]
        left = float(self._chunk_tokens)
        read_ms = 0.0
        for each in self._reading:
            taken = min(left, each.left)
            each.left -= taken
            left -= taken
            read_ms += cost_model.prefill_ms(
                self._engine, self._card, each.layers, taken
            )
            if left <= 0:
                break
        return read_ms * self.pace * S_PER_MS

    def _finish(self, writing: list[_Writing]) -> None:
        done = [each for each in self._reading if each.left <= 0]
        self._reading = [each for each in self._reading if each.left > 0]
        for read in done:
            read.done()
        for written in writing:
            written.done()


class Pipe:
    """Carries prompts one after another from one zone to another.

    Single tokens pass between the pieces of a prompt.
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
        if tokens <= SMALL_TOKENS:
            at = self._env.now + tokens / self._tokens_per_s + self._delay_s
            call_after(self._env, at, done)
            return
        begin = max(self._env.now, self._free_at)
        self._free_at = begin + tokens / self._tokens_per_s
        call_after(self._env, self._free_at + self._delay_s, done)


def call_after(
    env: simpy.Environment, at: float, done: Callable[[], None]
) -> None:
    """Calls ``done`` at a time that isn't past."""
    waited = env.timeout(max(0.0, at - env.now))
    waited.callbacks.append(lambda _event: done())
