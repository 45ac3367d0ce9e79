"""The body of a request while it arrives, kept in one block of memory."""

from collections.abc import Callable

from . import http_messages

# Bytes of a body that may be framing, whatever its size: the receive buffer
# and what comes after the body count, too.
MAX_FRAMING_BYTES = 131072
# A chunk of one byte has 5 bytes of framing; this leaves room for short
# extensions and leading zeros.
MAX_FRAMING_RATIO = 16


class RequestBody:
    """Collects a body; what it takes doesn't depend on the size of its chunks.

    :param max_bytes: limit on the body without its framing.
    :param hold: is called with the new size before the body grows.
    """

    def __init__(self, max_bytes: int, hold: Callable[[int], None]) -> None:
        self._max_bytes = max_bytes
        self._hold = hold
        self._data = bytearray()
        self._received_bytes = 0

    @property
    def size(self) -> int:
        """Bytes of the body that were kept."""
        return len(self._data)

    def record_received(self, size: int) -> None:
        """Records bytes from the connection, before they are parsed.

        Raises :class:`http_messages.BadRequest` if chunk lines, extensions
        and trailers take too much for the body that they frame.
        """
        self._received_bytes += size
        framing_bytes = self._received_bytes - len(self._data)
        allowed = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * len(self._data)
        if framing_bytes > allowed:
            raise http_messages.BadRequest(400)

    def append(self, data: bytes | bytearray) -> None:
        """Keeps data; raises :class:`http_messages.BadRequest` over the limit.

        :param data: a part of the body without its framing.
        """
        size = len(self._data) + len(data)
        if size > self._max_bytes:
            raise http_messages.BadRequest(413)
        self._hold(size)
        self._data += data

    def take(self) -> bytes:
        """Returns the body and releases it here."""
        body = bytes(self._data)
        self.clear()
        return body

    def clear(self) -> None:
        """Releases what was kept."""
        self._data = bytearray()
