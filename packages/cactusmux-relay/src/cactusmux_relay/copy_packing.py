"""Packs copies of the store's content for the way between instances.

Documents of many similar entries shrink to a tenth, and so does the time
for which they fill the link of a small instance.
"""

import zlib

from cactusmux_base import failures
import msgspec
from returns import result

from . import store_mirror

# The fastest level; higher ones cost more processor than they save.
LEVEL = 1
# No mirrored prefix comes near it, and an instance has memory for it.
MAX_UNPACKED_BYTES = 16_000_000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(store_mirror.Copy)


class CopyUnreadable(failures.CactusmuxError):
    """A packed copy that is damaged, cut short or too large."""

    reason = 'copy_unreadable'

    def __init__(self, cause: str) -> None:
        super().__init__(f'copy can not be unpacked: {cause}')
        self.cause = cause


def pack(copy: store_mirror.Copy) -> bytes:
    """Returns a copy as bytes, compressed."""
    return zlib.compress(_encoder.encode(copy), LEVEL)


def unpack(
    packed: bytes,
) -> result.Result[store_mirror.Copy, CopyUnreadable]:
    """Reads a packed copy, at most :data:`MAX_UNPACKED_BYTES` of it."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        return result.Failure(CopyUnreadable(str(error)))
    if unpacker.unconsumed_tail:
        return result.Failure(CopyUnreadable('too large'))
    if not unpacker.eof:
        return result.Failure(CopyUnreadable('cut short'))
    try:
        return result.Success(_decoder.decode(data))
    except msgspec.MsgspecError as error:
        return result.Failure(CopyUnreadable(str(error)))
