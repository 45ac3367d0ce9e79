"""Serialises and compresses copies of mirrored prefixes.

Documents with many similar entries shrink to a tenth of their size, and so
does the time for which their transfer occupies the link of a small instance.
"""

import zlib

from cactusmux_base import failures
import msgspec
from returns import result

from . import store_mirror

# The fastest level; higher ones cost more CPU time than they save in transfer.
LEVEL = 1
# Far above any mirrored prefix, and small enough for an instance's memory.
MAX_UNPACKED_BYTES = 16_000_000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(store_mirror.Copy)


class CopyUnreadable(failures.CactusmuxError):
    """A packed copy that is damaged, truncated or too large."""

    reason = 'copy_unreadable'

    def __init__(self, cause: str) -> None:
        super().__init__(f'cannot unpack copy: {cause}')
        self.cause = cause


def pack(copy: store_mirror.Copy) -> bytes:
    """Returns a copy serialised as MessagePack and compressed."""
    return zlib.compress(_encoder.encode(copy), LEVEL)


def unpack(
    packed: bytes,
) -> result.Result[store_mirror.Copy, CopyUnreadable]:
    """Unpacks a copy of at most :data:`MAX_UNPACKED_BYTES`."""
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
