"""Recognises retries of refused requests, which are served with preference.

It handles loads that exceed the capacity of the pool for a short time. A
refused caller retries once, mostly at another instance; if it is refused
again, its wait was wasted. Instances therefore report their refusals to each
other.
"""

from collections.abc import Iterable
import hashlib
import random

from cactusmux_base import timers

# A caller that retries does so within this time.
RECOGNITION_S = 6.0
MAX_REMEMBERED = 4096
# Refusals are reported to peers repeatedly for this time, which makes up for
# lost datagrams.
REPORT_DURATION_S = 1.0
MAX_REPORTED = 64
KEY_BYTES = 6
# Retry delays are drawn from this range, so that callers don't retry at once.
MIN_RETRY_S = 0.8
MAX_RETRY_S = 1.4


class RefusedCallers:
    """Recognises requests that were refused a short time ago."""

    def __init__(self, timer: timers.TimerService, rng: random.Random) -> None:
        self._timer = timer
        self._rng = rng
        self._refused_at_by_key: dict[int, float] = {}
        self._own_at_by_key: dict[int, float] = {}

    def record_refusal(self, key: int | None, wait_s: float = 0.0) -> float:
        """Remembers a refused request; returns the retry delay in seconds.

        :param wait_s: minimum time until the request can be served.
        """
        if key is not None:
            now = self._timer.now()
            self._remember(key, now)
            self._own_at_by_key[key] = now
        retry_s = self._rng.uniform(MIN_RETRY_S, MAX_RETRY_S)
        return retry_s + max(0.0, wait_s - MIN_RETRY_S)

    def record_peer_refusals(self, keys: Iterable[int]) -> None:
        """Remembers requests that a peer has refused."""
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
        return self._timer.now() - refused_at < RECOGNITION_S

    def own_refusals(self) -> list[int]:
        """Returns the latest requests that this instance has refused."""
        oldest = self._timer.now() - REPORT_DURATION_S
        for key, refused_at in list(self._own_at_by_key.items()):
            if refused_at < oldest:
                del self._own_at_by_key[key]
        return list(self._own_at_by_key)[-MAX_REPORTED:]

    def _remember(self, key: int, now: float) -> None:
        """Adds a request and evicts old ones; keys are ordered by age."""
        self._refused_at_by_key.pop(key, None)
        self._refused_at_by_key[key] = now
        while self._refused_at_by_key:
            oldest = next(iter(self._refused_at_by_key))
            age_s = now - self._refused_at_by_key[oldest]
            is_within_limit = len(self._refused_at_by_key) <= MAX_REMEMBERED
            if is_within_limit and age_s < RECOGNITION_S:
                return
            del self._refused_at_by_key[oldest]


def request_key(organisation: str, prompt_id: str) -> int | None:
    """Returns a short hash of a request, ``None`` if it has no prompt."""
    if not prompt_id:
        return None
    text = f'{organisation}\n{prompt_id}'.encode()
    digest = hashlib.blake2b(text, digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, 'big')
