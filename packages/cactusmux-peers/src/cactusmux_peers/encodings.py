"""Conversion of members and reports to and from protobuf messages."""

from collections.abc import Iterable
from typing import TypeVar

from cactusmux_platform import targets
from google.protobuf import message

from . import levels
from . import members
from . import peers_pb2

# Well below the 32-bit limit, so that a member can always refute an
# accepted claim with a higher incarnation.
MAX_INCARNATION = 2**31

_Message = TypeVar('_Message', bound=message.Message)


class MalformedError(ValueError):
    """Data that is not a valid message of the expected type."""


def parse(kind: type[_Message], data: bytes) -> _Message:
    """Decodes a message; raises :class:`MalformedError`."""
    try:
        return kind.FromString(data)
    except message.DecodeError as error:
        raise MalformedError(f'no {kind.__name__}: {error}') from error


def to_update(member: members.Member) -> peers_pb2.MemberUpdate:
    """Encodes a claim about a member, without its document revisions."""
    return peers_pb2.MemberUpdate(
        instance_id=member.instance_id,
        address=member.address,
        peer_address=member.peer_address,
        region=member.region,
        zone=member.zone,
        incarnation=member.incarnation,
        state=int(member.state),
    )


def to_updates(
    claims: Iterable[members.Member],
) -> list[peers_pb2.MemberUpdate]:
    """Encodes several claims."""
    return [to_update(member) for member in claims]


def from_update(update: peers_pb2.MemberUpdate) -> members.Member:
    """Decodes a claim; raises :class:`MalformedError`."""
    if not update.instance_id or not update.peer_address:
        raise MalformedError('member update lacks instance id or address')
    if not 0 < update.incarnation <= MAX_INCARNATION:
        raise MalformedError(f'incarnation {update.incarnation} out of range')
    try:
        state = members.State(update.state)
    except ValueError as error:
        raise MalformedError(
            f'member state {update.state} is unknown'
        ) from error
    return members.Member(
        update.instance_id,
        update.address,
        update.peer_address,
        update.region,
        update.zone,
        update.incarnation,
        state,
    )


def from_updates(
    updates: Iterable[peers_pb2.MemberUpdate],
) -> list[members.Member]:
    """Decodes several claims."""
    return [from_update(update) for update in updates]


def to_detail(report: targets.TargetReport) -> bytes:
    """Encodes the part of a report that rarely changes."""
    detail = peers_pb2.ReportDetail(
        address=report.address,
        holdings=[
            peers_pb2.HoldingDetail(
                model=holding.model,
                version=holding.version,
                first=holding.first,
                last=holding.last,
                adapters=holding.adapters,
            )
            for holding in report.holdings
        ],
        capacity_tps=report.capacity_tps,
        leaving=report.leaving,
        loading=report.loading,
        checks_fencing=report.checks_fencing,
        fencing=report.fencing,
    )
    return detail.SerializeToString()


def from_detail(data: bytes) -> targets.TargetReport:
    """Decodes a report without its load; ``running`` and ``queued`` are 0."""
    detail = parse(peers_pb2.ReportDetail, data)
    holdings = tuple(
        targets.Holding(
            holding.model,
            holding.version,
            holding.first,
            holding.last,
            tuple(holding.adapters),
        )
        for holding in detail.holdings
    )
    return targets.TargetReport(
        detail.address,
        holdings,
        detail.capacity_tps,
        running=0,
        queued=0,
        leaving=detail.leaving,
        loading=detail.loading,
        checks_fencing=detail.checks_fencing,
        fencing=detail.fencing,
    )


def to_load(report: targets.TargetReport) -> bytes:
    """Encodes the load of a target as two quantized levels."""
    return bytes(
        (
            levels.to_level(report.running, levels.COUNT_UNIT),
            levels.to_level(report.queued, levels.COUNT_UNIT),
        )
    )


def with_load(
    report: targets.TargetReport, load: bytes
) -> targets.TargetReport:
    """Returns the report with the load decoded from two levels."""
    if len(load) != 2:
        raise MalformedError(
            f'load of {report.address} does not have two levels'
        )
    running, queued = load
    return report._replace(
        running=round(levels.from_level(running, levels.COUNT_UNIT)),
        queued=round(levels.from_level(queued, levels.COUNT_UNIT)),
    )
