"""Callers that were refused and are to be served when they return.

It answers loads above what the pool carries for a short time. A refused
caller returns once, mostly to another instance; refused again it has waited
for nothing. Instances tell each other whom they have refused.
"""

from collections.abc import Iterable
import hashlib
import random

from cactusmux_base import timers

# A caller that returns does so within this time.
MEMORY_S = 6.0
MAX_KNOWN = 4096
# Told to the other instances for so long, so that a lost datagram is no loss.
TOLD_S = 1.0
MAX_TOLD = 64
KEY_BYTES = 6
# Callers that are told to wait don't all return at once.
LEAST_RETRY_S = 0.8
LONGEST_RETRY_S = 1.4


class RefusedCallers:
    """Recognises requests that were refused a short time ago."""

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._refused_at_by_key: dict[int, float] = {}
        self._own_at_by_key: dict[int, float] = {}

    def note_refused(self, key: int | None, wait_s: float = 0.0) -> float:
        """Remembers a request; returns after how many seconds to retry.

        :param wait_s: earlier the request can't be served.
        """
        if key is not None:
            now = self._timer.now()
            self._remember(key, now)
            self._own_at_by_key[key] = now
        retry_s = self._rng.uniform(LEAST_RETRY_S, LONGEST_RETRY_S)
        return retry_s + max(0.0, wait_s - LEAST_RETRY_S)

    def note_told(self, keys: Iterable[int]) -> None:
        """Takes requests that another instance has refused."""
        now = self._timer.now()
        for key in keys:
            self._remember(key, now)

    def is_returning(self, key: int | None) -> bool:
        """Whether a request was refused a short time ago."""
        if key is None:
            return False
        refused_at = self._refused_at_by_key.get(key)
        if refused_at is None:
            return False
        return self._timer.now() - refused_at < MEMORY_S

    def own(self) -> list[int]:
        """Returns the newest requests that this instance has refused."""
        oldest = self._timer.now() - TOLD_S
        for key, refused_at in list(self._own_at_by_key.items()):
            if refused_at < oldest:
                del self._own_at_by_key[key]
        return list(self._own_at_by_key)[-MAX_TOLD:]

    def _remember(self, key: int, now: float) -> None:
        """Adds a request; the oldest ones go, as keys lie in their order."""
        self._refused_at_by_key.pop(key, None)
        self._refused_at_by_key[key] = now
        while self._refused_at_by_key:
            oldest = next(iter(self._refused_at_by_key))
            age_s = now - self._refused_at_by_key[oldest]
            few = len(self._refused_at_by_key) <= MAX_KNOWN
            if few and age_s < MEMORY_S:
                return
            del self._refused_at_by_key[oldest]


def key_of(organisation: str, prompt_id: str) -> int | None:
    """Returns a short key of a request, ``None`` if it has no prompt."""
    if not prompt_id:
        return None
    text = f'{organisation}\n{prompt_id}'.encode()
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, 'big')
