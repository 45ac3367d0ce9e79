"""Remembers which parts of prompts and which requests were served."""

import math

from . import prompt_parts

NEVER = -math.inf
# Parts that are kept; beyond that the ones served longest ago are dropped.
MAX_SERVED_PARTS = 2048
# The same for whole requests. They have a limit of their own, as callers that
# send many different ones must not displace parts.
MAX_SERVED_REQUESTS = 1024


class ServedKeys:
    """The times at which parts and requests were last served."""

    def __init__(self) -> None:
        self._at_by_part: dict[prompt_parts.PartKey, float] = {}
        self._at_by_request: dict[prompt_parts.PartKey, float] = {}

    def record(self, key: prompt_parts.PartKey, at: float) -> None:
        """Records that a request with this part, or itself, was served."""
        at_by_key = self._at_by_key(key)
        known_at = at_by_key.pop(key, at)
        at_by_key[key] = max(at, known_at)
        limit = MAX_SERVED_REQUESTS if key.is_request else MAX_SERVED_PARTS
        while len(at_by_key) > limit:
            del at_by_key[next(iter(at_by_key))]

    def at(self, key: prompt_parts.PartKey) -> float:
        """Returns when it was last served, ``NEVER`` if not known."""
        return self._at_by_key(key).get(key, NEVER)

    def _at_by_key(
        self, key: prompt_parts.PartKey
    ) -> dict[prompt_parts.PartKey, float]:
        return self._at_by_request if key.is_request else self._at_by_part
