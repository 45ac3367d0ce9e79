"""Reads a target's whole response, with room for it at its caller."""

from . import http_messages
from . import room_choice
from . import target_calls

# Room for a body without a length is asked for in steps of this size.
GROWTH_BYTES = 1 << 20


class ResponseBody:
    """The body of one response while it arrives, in one block of memory.

    :param answerer: is asked for room for bodies over ``LIGHT_BYTES``.
    :param max_bytes: limit on the body.
    """

    def __init__(
        self,
        head: target_calls.ResponseHead,
        answerer: http_messages.Answerer,
        max_bytes: int,
    ) -> None:
        self._answerer = answerer
        self._max_bytes = max_bytes
        announced = head.header(b'content-length')
        self._announced_bytes = None if announced is None else int(announced)
        self._room_bytes = room_choice.LIGHT_BYTES
        self._data = bytearray()

    def read(self, call: target_calls.TargetCall, address: str) -> bytes:
        """Returns the body.

        Raises :class:`target_calls.AnswerBroken` and
        :class:`held_bytes.NoRoom`.

        :param address: address of the target.
        """
        self._hold_announced(address)
        for chunk in call.body_chunks():
            size = len(self._data) + len(chunk)
            if size > self._max_bytes:
                raise self._too_long(address)
            self._hold(size)
            self._data += chunk
        return bytes(self._data)

    def _hold_announced(self, address: str) -> None:
        size = self._announced_bytes
        if size is None or size <= self._room_bytes:
            return
        if size > self._max_bytes:
            raise self._too_long(address)
        self._answerer.hold(size, may_wait=True)
        self._room_bytes = size

    def _hold(self, size: int) -> None:
        """Asks for room as a body without a length grows.

        It doesn't wait: those that wait would keep what they have from each
        other.
        """
        if size <= self._room_bytes:
            return
        room_bytes = min(size + GROWTH_BYTES, self._max_bytes)
        self._answerer.hold(room_bytes, may_wait=False)
        self._room_bytes = room_bytes

    def _too_long(self, address: str) -> target_calls.AnswerBroken:
        return target_calls.AnswerBroken(
            address, f'body exceeds {self._max_bytes} bytes'
        )
