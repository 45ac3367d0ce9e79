"""Finds continuation lines in the heads of responses.

The parser joins a line that begins with a blank or tab to the line before
it. It may be a field of its own whose name is damaged; joined, it is lost and
changes the value of another field, such as the signature.
"""

import re

_CONTINUATION = re.compile(rb'\n[ \t]')


class HeadLines:
    """The bytes of a response until the end of its head.

    Whole informational heads may come before it.
    """

    def __init__(self) -> None:
        self._data = bytearray()

    def receive(self, data: bytes) -> None:
        """Adds bytes in the order in which they arrive."""
        self._data += data

    def end_head(self, left_bytes: int) -> bool:
        """Ends a head; whether it has a continuation line.

        :param left_bytes: number of received bytes that follow this head.
        """
        size = len(self._data) - left_bytes
        has_continuation = bool(_CONTINUATION.search(self._data, 0, size))
        del self._data[:size]
        return has_continuation
