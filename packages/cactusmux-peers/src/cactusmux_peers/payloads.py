"""Record payloads: a tag byte for the kind of record, then the body."""

import enum
from typing import NamedTuple

from . import encodings
from . import peers_pb2


class Tag(enum.IntEnum):
    """The kinds of records."""

    DETAIL = 1
    LOAD = 2
    REVISION = 3
    LEAVING = 4
    DEMAND_NAME = 5
    DEMAND_RATE = 6
    REMOVED = 7
    REMOVED_FAR = 8


# Records that are also sent to instances of other regions.
CROSS_REGION_TAGS = frozenset(
    (Tag.REVISION, Tag.DEMAND_NAME, Tag.DEMAND_RATE, Tag.REMOVED_FAR)
)
TOMBSTONE_TAGS = frozenset((Tag.REMOVED, Tag.REMOVED_FAR))


class DemandKey(NamedTuple):
    """A service and one of its organisations."""

    service: str
    organisation: str


def is_cross_region(payload: bytes) -> bool:
    """Returns whether a record is also sent to other regions."""
    return bool(payload) and payload[0] in CROSS_REGION_TAGS


def tombstone_for(payload: bytes) -> bytes:
    """Returns the tombstone that removes a record with this payload."""
    tag = Tag.REMOVED_FAR if is_cross_region(payload) else Tag.REMOVED
    return bytes((tag,))


def encode(tag: Tag, body: bytes) -> bytes:
    """Returns the payload with the given tag and body."""
    return bytes((tag,)) + body


def encode_revision(service: str, revision: int) -> bytes:
    """Returns the payload that announces a document revision."""
    message = peers_pb2.DocumentRevision(service=service, revision=revision)
    return encode(Tag.REVISION, message.SerializeToString())


def decode_revision(body: bytes) -> tuple[str, int]:
    """Returns service and revision; raises ``MalformedError``."""
    message = encodings.parse(peers_pb2.DocumentRevision, body)
    return message.service, message.revision


def encode_demand_name(key: DemandKey) -> bytes:
    """Returns the payload that names an organisation of a service."""
    message = peers_pb2.DemandName(
        service=key.service, organisation=key.organisation
    )
    return encode(Tag.DEMAND_NAME, message.SerializeToString())


def decode_demand_name(body: bytes) -> DemandKey:
    """Returns service and organisation; raises ``MalformedError``."""
    message = encodings.parse(peers_pb2.DemandName, body)
    return DemandKey(message.service, message.organisation)
