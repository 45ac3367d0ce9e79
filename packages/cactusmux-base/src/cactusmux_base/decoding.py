"""Decoders of other parties' bytes, with one failure for all of them."""

from typing import Any, Generic, Protocol, TypeVar

import msgspec

from . import failures

Decoded = TypeVar('Decoded')
# What msgspec raises, beside its own errors: for bytes that are nested too
# deep, aren't UTF-8, or hold a number that doesn't fit.
_ERRORS = (ValueError, RecursionError, ArithmeticError, MemoryError)


class Unreadable(failures.CactusmuxError, msgspec.DecodeError):
    """Bytes that can't be decoded as what was expected."""

    reason = 'unreadable'

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class _Decodes(Protocol):
    def decode(self, data: bytes, /) -> Any:
        """Returns the decoded value."""


class Decoder(Generic[Decoded]):
    """Decodes bytes; whatever they hold, it raises nothing but a failure."""

    def __init__(self, decoder: _Decodes) -> None:
        self._decoder = decoder

    def decode(self, data: bytes) -> Decoded:
        """Returns the decoded value; raises :class:`Unreadable`."""
        try:
            decoded: Decoded = self._decoder.decode(data)
        except _ERRORS as error:
            raise Unreadable(str(error)) from error
        return decoded


_any_decoder = Decoder[Any](msgspec.json.Decoder())


def json_decoder(kind: type[Decoded]) -> Decoder[Decoded]:
    """Returns a decoder of JSON."""
    return Decoder(msgspec.json.Decoder(kind))


def msgpack_decoder(kind: type[Decoded]) -> Decoder[Decoded]:
    """Returns a decoder of MessagePack."""
    return Decoder(msgspec.msgpack.Decoder(kind))


def from_json(data: bytes, type: type[Decoded]) -> Decoded:
    """Decodes JSON; raises :class:`Unreadable`."""
    return json_decoder(type).decode(data)


def any_json(data: bytes) -> Any:
    """Decodes any JSON value; raises :class:`Unreadable`."""
    return _any_decoder.decode(data)


def from_msgpack(data: bytes, type: type[Decoded]) -> Decoded:
    """Decodes MessagePack; raises :class:`Unreadable`."""
    return msgpack_decoder(type).decode(data)
