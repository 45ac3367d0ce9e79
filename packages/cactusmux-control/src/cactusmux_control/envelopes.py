"""What the store holds under a document's key: the text and its history.

Every write has an id of its own, by which its writer finds out whether it
took effect when the answer was lost. ``earlier`` names the writes that it
followed, so that a write that took effect and was replaced at once is found
too.

The revision in force orders documents across a restored store: it is
``epoch * EPOCH_STEP`` plus the store's revision. An operator raises the
epoch once the store's counter has gone back.
"""

from typing import Annotated, NamedTuple

from cactusmux_base import failures
from cactusmux_platform import stores
import msgspec
from returns import result

MAX_EARLIER = 16
MAX_EPOCH = 9_000
EPOCH_STEP = 10**12
NOT_AN_EDIT = ''


class Write(NamedTuple):
    """A write that was replaced, and the store's revision of it."""

    revision: int
    write_id: str


class Envelope(NamedTuple):
    """A stored document; ``earlier`` has the newest write first."""

    write_id: str
    epoch: int
    earlier: tuple[Write, ...]
    text: bytes


class EnvelopeInvalid(failures.CactusmuxError):
    """The stored value is not an envelope: something else wrote it."""

    reason = 'envelope_invalid'

    def __init__(self, detail: str) -> None:
        super().__init__(f'stored value is not a document: {detail}')
        self.detail = detail


class EpochInvalid(failures.CactusmuxError):
    """An epoch may only rise, and not without end."""

    reason = 'epoch_invalid'

    def __init__(self, epoch: int, stored: int) -> None:
        super().__init__(
            f'epoch {epoch} is not between {stored} and {MAX_EPOCH}'
        )
        self.epoch = epoch
        self.stored = stored


class _Message(msgspec.Struct):
    """The stored JSON object; msgspec takes no raw JSON in a TypedDict."""

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
    """Returns the envelope; its text is still to be checked."""
    try:
        message = msgspec.json.decode(value, type=_Message)
    except msgspec.MsgspecError as error:
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

    Without ``epoch`` it keeps that of ``found``. A history starts at an
    absent key or at a stored value that is no envelope.
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
