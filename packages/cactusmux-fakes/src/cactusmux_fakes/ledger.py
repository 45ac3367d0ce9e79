"""Records which layers ran for each token of each attempt."""

import collections
from collections import Counter
from typing import NamedTuple


class TokenKey(NamedTuple):
    """One token of one attempt of one request."""

    request_id: str
    attempt: int
    position: int


class Ledger:
    """The layers that all fake engines of a process ran."""

    def __init__(self) -> None:
        self._layers_by_token: dict[TokenKey, list[int]] = (
            collections.defaultdict(list)
        )
        self._emitted: Counter[TokenKey] = Counter()
        self._last_attempt_by_request: dict[str, int] = {}
        self.prefilled_tokens = 0
        self.imported_tokens = 0

    def note_layer(self, token: TokenKey, layer: int) -> None:
        """Records that ``layer`` ran for ``token``."""
        self._layers_by_token[token].append(layer)
        self._last_attempt_by_request[token.request_id] = max(
            token.attempt, self.attempts(token.request_id)
        )

    def note_emitted(self, token: TokenKey, layers: int) -> None:
        """Records that ``token`` passed the last of ``layers`` layers."""
        self._emitted[token] += 1
        expected = list(range(layers))
        if self._layers_by_token[token] == expected:
            # Frees the memory of a token that ran correctly.
            self._layers_by_token[token] = []

    @property
    def emitted_tokens(self) -> int:
        """Number of tokens that engines emitted, over all attempts."""
        return self._emitted.total()

    def violations(self) -> tuple[TokenKey, ...]:
        """Returns emitted tokens whose layers did not run in order once."""
        return tuple(
            token
            for token, count in self._emitted.items()
            if count != 1 or self._layers_by_token[token]
        )

    def run_request_ids(self) -> frozenset[str]:
        """Returns the ids of requests for which at least one layer ran."""
        return frozenset(self._last_attempt_by_request)

    def attempts(self, request_id: str) -> int:
        """Returns how many attempts of a request ran a layer."""
        return self._last_attempt_by_request.get(request_id, 0)
