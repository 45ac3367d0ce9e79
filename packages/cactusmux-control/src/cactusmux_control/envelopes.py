"""The stored value of a document: its text and its write history.

Every write has a unique id, by which the writer determines whether it took
effect when the store's response was lost. ``earlier`` lists the preceding
writes, so that a write that took effect and was replaced immediately is
found as well.

The revision in force orders documents across a restore of the store: it is
``epoch * EPOCH_STEP`` plus the store's revision. An operator raises the epoch
after the store's revision counter went back.
"""

from typing import Annotated, NamedTuple

from cactusmux_base import decoding
from cactusmux_base import failures
from cactusmux_platform import stores
import msgspec
from returns import result

MAX_EARLIER = 16
MAX_EPOCH = 9_000
EPOCH_STEP = 10**12
NOT_AN_EDIT = ''


class Write(NamedTuple):
    """A write that was replaced, and its store revision."""

    revision: int
    write_id: str


class Envelope(NamedTuple):
    """A stored document; ``earlier`` lists the newest write first."""

    write_id: str
    epoch: int
    earlier: tuple[Write, ...]
    text: bytes


class EnvelopeInvalid(failures.CactusmuxError):
    """The stored value is not an envelope, so another program wrote it."""

    reason = 'envelope_invalid'

    def __init__(self, detail: str) -> None:
        super().__init__(f'stored value is not a document: {detail}')
        self.detail = detail


class EpochInvalid(failures.CactusmuxError):
    """The epoch is below the stored one or above ``MAX_EPOCH``."""

    reason = 'epoch_invalid'

    def __init__(self, epoch: int, stored: int) -> None:
        super().__init__(
            f'epoch {epoch} is not between {stored} and {MAX_EPOCH}'
        )
        self.epoch = epoch
        self.stored = stored


class _Message(msgspec.Struct):
    """The stored JSON; msgspec doesn't support Raw in a TypedDict."""

    write_id: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    epoch: Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]
    earlier: Annotated[tuple[Write, ...], msgspec.Meta(max_length=MAX_EARLIER)]
    document: msgspec.Raw


def encode(envelope: Envelope) -> bytes:
    """Returns the value to store; the text must be valid JSON."""
    message = _Message(
        envelope.write_id,
        envelope.epoch,
        envelope.earlier,
        msgspec.Raw(envelope.text),
    )
    return msgspec.json.encode(message)


def decode(value: bytes) -> result.Result[Envelope, EnvelopeInvalid]:
    """Returns the envelope; its text is not validated."""
    try:
        message = decoding.from_json(value, type=_Message)
    except decoding.Unreadable as error:
        return result.Failure(EnvelopeInvalid(str(error)))
    return result.Success(
        Envelope(
            message.write_id,
            message.epoch,
            message.earlier,
            bytes(message.document),
        )
    )


def build_successor(
    found: stores.Entry | None, write_id: str, epoch: int | None, text: bytes
) -> result.Result[Envelope, EpochInvalid]:
    """Returns the envelope of a write that replaces ``found``.

    Without ``epoch``, the epoch of ``found`` is kept. The history is empty if
    the key is absent or its value is not an envelope.
    """
    before = _history(found)
    if epoch is None:
        epoch = before.epoch
    if not before.epoch <= epoch <= MAX_EPOCH:
        return result.Failure(EpochInvalid(epoch, before.epoch))
    replaced = found.revision if found else stores.ABSENT
    earlier = (Write(replaced, before.write_id), *before.earlier)
    return result.Success(
        Envelope(write_id, epoch, earlier[:MAX_EARLIER], text)
    )


def _history(found: stores.Entry | None) -> Envelope:
    empty = Envelope(NOT_AN_EDIT, 0, (), b'')
    return decode(found.value).value_or(empty) if found else empty


def revision_in_force(envelope: Envelope, store_revision: int) -> int:
    """Returns the revision by which instances order documents."""
    return envelope.epoch * EPOCH_STEP + store_revision
