"""Serialises and compresses copies of mirrored prefixes.

Documents with many similar entries shrink to a tenth of their size, and so
does the time for which their transfer occupies the link of a small instance.
"""

from typing import Annotated, NamedTuple
import zlib

from cactusmux_base import decoding
from cactusmux_base import failures
from cactusmux_platform import stores
import msgspec
from returns import result

from . import store_mirror

# The fastest level; higher ones cost more CPU time than they save in transfer.
LEVEL = 1
# Far above any mirrored prefix, and small enough for an instance's memory.
MAX_UNPACKED_BYTES = 16_000_000
# Far above the entries of any prefix; an entry in memory takes far more than
# the few bytes that it may take packed.
MAX_ENTRIES = 100_000


class _PackedCopy(NamedTuple):
    """The fields of a copy that builds without eras know.

    They refuse further ones, so the era is sent beside the packed copy.
    """

    entries: Annotated[
        tuple[stores.Entry, ...], msgspec.Meta(max_length=MAX_ENTRIES)
    ]
    revision: int
    last_change_revision: int
    settles_in_s: float = 0.0


_encoder = msgspec.msgpack.Encoder()
_decoder = decoding.msgpack_decoder(_PackedCopy)


class CopyUnreadable(failures.CactusmuxError):
    """A packed copy that is damaged, truncated or too large."""

    reason = 'copy_unreadable'

    def __init__(self, cause: str) -> None:
        super().__init__(f'cannot unpack copy: {cause}')
        self.cause = cause


def pack(copy: store_mirror.Copy) -> bytes:
    """Returns a copy without its era, as compressed MessagePack."""
    packed = _PackedCopy(
        copy.entries,
        copy.position.revision,
        copy.last_change.revision,
        copy.settles_in_s,
    )
    return zlib.compress(_encoder.encode(packed), LEVEL)


def unpack(
    packed: bytes, era: int
) -> result.Result[store_mirror.Copy, CopyUnreadable]:
    """Unpacks a copy within the limits of this module.

    :param era: era of the copy's positions.
    """
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
        found = _decoder.decode(data)
    except decoding.Unreadable as error:
        return result.Failure(CopyUnreadable(str(error)))
    copy = store_mirror.Copy(
        found.entries,
        stores.Position(era, found.revision),
        stores.Position(era, found.last_change_revision),
        found.settles_in_s,
    )
    return result.Success(copy)
