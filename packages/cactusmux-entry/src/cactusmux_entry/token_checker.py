"""Checks tokens before they are sent to a caller."""

from cactusmux_base import metrics
from cactusmux_platform import targets


class TokenChecker:
    """Accepts each token position of a request once, in order.

    Tokens of other requests, earlier attempts and positions already sent
    are dropped and counted. A missing position is an error.
    """

    def __init__(
        self, request_id: str, max_tokens: int, sink: metrics.Metrics
    ) -> None:
        self.texts: list[str] = []
        self.finished = False
        self._request_id = request_id
        self._max_tokens = max_tokens
        self._attempt = 0
        self._metrics = sink

    def start_attempt(self, attempt: int) -> None:
        """Makes ``attempt`` the only one whose tokens are accepted."""
        self._attempt = attempt

    def accept(self, token: targets.Token, address: str) -> bool:
        """Returns whether a token is the next one to send.

        :raises targets.StreamBroken: when a position is missing, or the
            response exceeds the requested length.
        """
        if token.request_id != self._request_id:
            return self._drop('foreign')
        if token.attempt != self._attempt:
            return self._drop('old_attempt')
        expected = len(self.texts)
        if self.finished or token.position < expected:
            return self._drop('repeated')
        if token.position > expected:
            raise targets.StreamBroken(
                address, f'position {token.position} before {expected}'
            )
        if expected >= self._max_tokens:
            raise targets.StreamBroken(address, 'more tokens than asked for')
        self.texts.append(token.text)
        self.finished = token.final
        return True

    def _drop(self, reason: str) -> bool:
        self._metrics.count(f'entry.dropped_token.{reason}')
        return False
