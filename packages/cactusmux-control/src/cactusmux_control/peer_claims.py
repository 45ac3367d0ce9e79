"""Forwards claim writes to the instance that owns their range."""

from typing import NamedTuple

from cactusmux_base import decoding
from cactusmux_peers import assignments
from cactusmux_peers import peer_service
from cactusmux_peers import transport
import msgspec
from returns import result

from . import claim_owner
from . import claim_writes

FORWARD_NAME = 'claims'
FORWARD_TIMEOUT_S = 2.0


class ClaimWritesCall(NamedTuple):
    """The body of one call: claim writes of one range."""

    range_number: int
    writes: tuple[claim_writes.ClaimWrite, ...]


class PeerClaimForwarder(claim_writes.ClaimForwarder):
    """Finds owners by rendezvous hashing over the remaining members.

    While the membership views of instances differ, two instances may act as
    the owner; the log of the range decides which of them writes.
    """

    def __init__(
        self, owner: claim_owner.ClaimOwner, peers: peer_service.PeerService
    ) -> None:
        self._owner = owner
        self._peers = peers
        self._duties = assignments.JobAssignments(peers.view)
        peers.handle_forwards(FORWARD_NAME, self._handle)

    def forward(
        self, range_number: int, writes: tuple[claim_writes.ClaimWrite, ...]
    ) -> result.Result[tuple[claim_writes.Reply, ...], transport.PeerError]:
        member = self._duties.owner_of(f'claims/{range_number}')
        own = self._peers.view.own
        if member is None or member.instance_id == own.instance_id:
            return result.Success(self._owner.submit(range_number, writes))
        self._owner.forget(range_number)
        body = msgspec.json.encode(ClaimWritesCall(range_number, writes))
        called = self._peers.forward(
            member.peer_address, FORWARD_NAME, body, FORWARD_TIMEOUT_S
        )
        return called.bind(
            lambda data: _to_replies(member.peer_address, data, len(writes))
        )

    def _handle(self, body: bytes) -> bytes:
        """Accepts writes of another instance, even if not their owner."""
        try:
            call = decoding.from_json(body, type=ClaimWritesCall)
        except decoding.Unreadable as error:
            raise transport.CallRefused(str(error)) from error
        replies = self._owner.submit(call.range_number, call.writes)
        return msgspec.json.encode(replies)


def _to_replies(
    peer_address: str, data: bytes, count: int
) -> result.Result[tuple[claim_writes.Reply, ...], transport.PeerError]:
    try:
        replies = decoding.from_json(data, type=tuple[claim_writes.Reply, ...])
    except decoding.Unreadable as error:
        return result.Failure(
            transport.MessageMalformed(peer_address, str(error))
        )
    if len(replies) != count:
        detail = f'{len(replies)} replies to {count} writes'
        return result.Failure(transport.MessageMalformed(peer_address, detail))
    return result.Success(replies)
