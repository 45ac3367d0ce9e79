"""Gossips soft state between instances by delta pulls and push notices."""

from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from returns import result

from . import encodings
from . import members
from . import neighbours as neighbours_lib
from . import peers_pb2
from . import records
from . import soft_state
from . import transport

NOTICE_FANOUT = 3
# Delay that batches changes before the first round of notices. Further
# rounds go to other random members, which covers lost messages.
NOTICE_DELAY_S = 0.05
NOTICE_REPEAT_S = 0.4
NOTICE_ROUNDS = 3
NOTICE_TIMEOUT_S = 0.5
MAX_NOTICE_ADDRESSES = 256
MAX_DIGEST_ORIGINS = 4096

_REGION = neighbours_lib.Scope.REGION


class Exchange:
    """Pulls newer records from peers and answers their pulls."""

    def __init__(
        self,
        neighbours: neighbours_lib.Neighbours,
        state: soft_state.SoftState,
        peers: transport.PeerTransport,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
    ) -> None:
        self._state = state
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._neighbours = neighbours
        self._scheduled_notice: timers.Subscription | None = None
        state.on_leaving(self._schedule_notice)

    def pull_for(self, member: members.Member) -> peers_pb2.Pull:
        """Returns a pull request for the newer records of ``member``."""
        scope = self._neighbours.scope_of(member)
        origins = self._neighbours.origins(scope)
        pull = peers_pb2.Pull(
            scope=int(scope),
            origins=origins,
            versions=self._state.table.versions_of(origins),
        )
        if member == self._state.demand_tree.parent():
            pull.demand.CopyFrom(self._state.demand_tree.subtree())
        return pull

    def merge_answer(self, answer: peers_pb2.PullAnswer) -> None:
        """Merges the newer records that a peer returned for a pull."""
        try:
            for delta in answer.deltas:
                self._state.table.merge(delta)
        except ValueError:
            self._metrics.count('peers.answer.malformed')
        if answer.unknown_keys:
            self._state.demand_tree.set_requested_keys(
                set(answer.unknown_keys)
            )

    def handle_pull(
        self, sender_id: str, pull: peers_pb2.Pull
    ) -> peers_pb2.PullAnswer:
        """Returns the records that the requesting instance lacks.

        Raises :class:`encodings.MalformedError` for an invalid digest.
        """
        if len(pull.origins) != len(pull.versions):
            raise encodings.MalformedError('digest has unequal lists')
        if len(pull.origins) > MAX_DIGEST_ORIGINS:
            raise encodings.MalformedError('digest has too many origins')
        is_cross_region = neighbours_lib.Scope(pull.scope) is not _REGION
        digest = dict(zip(pull.origins, pull.versions, strict=True))
        answer = peers_pb2.PullAnswer(
            deltas=self._state.table.deltas_since(digest, is_cross_region)
        )
        if pull.HasField('demand'):
            unknown = self._state.demand_tree.receive(sender_id, pull.demand)
            answer.unknown_keys.extend(unknown)
        return answer

    def handle_notice(
        self, notice: peers_pb2.Notice
    ) -> peers_pb2.NoticeAnswer:
        """Records leaving targets and forwards the ones not known yet."""
        if len(notice.leaving_addresses) > MAX_NOTICE_ADDRESSES:
            raise encodings.MalformedError('notice has too many targets')
        age_s_by_address = {
            address: age_ds * records.AGE_UNIT_S
            for address, age_ds in zip(
                notice.leaving_addresses, notice.ages_ds, strict=True
            )
        }
        self._state.record_leaving(age_s_by_address)
        return peers_pb2.NoticeAnswer()

    def _schedule_notice(self) -> None:
        if self._scheduled_notice is None:
            self._scheduled_notice = self._timer.after(
                NOTICE_DELAY_S, self._notify
            )

    def _notify(self) -> None:
        """Sends notices of leaving targets in ``NOTICE_ROUNDS`` rounds."""
        self._scheduled_notice = None
        age_s_by_address = self._state.take_unannounced_leaving()
        self._send_notices(age_s_by_address, NOTICE_ROUNDS)

    def _send_notices(
        self, age_s_by_address: dict[str, float], rounds: int
    ) -> None:
        if rounds > 1:
            self._timer.after(
                NOTICE_REPEAT_S,
                lambda: self._send_notices(age_s_by_address, rounds - 1),
            )
        receivers = self._neighbours.sample(_REGION, NOTICE_FANOUT)
        addresses = list(age_s_by_address)
        for start in range(0, len(addresses), MAX_NOTICE_ADDRESSES):
            batch = addresses[start : start + MAX_NOTICE_ADDRESSES]
            notice = peers_pb2.Notice(
                leaving_addresses=batch,
                ages_ds=[
                    round(age_s_by_address[address] / records.AGE_UNIT_S)
                    for address in batch
                ],
            )
            for member in receivers:
                self._send_notice(member, notice.SerializeToString())

    def _send_notice(self, member: members.Member, notice: bytes) -> None:
        called = self._peers.call(
            member.peer_address,
            transport.Method.NOTICE,
            notice,
            NOTICE_TIMEOUT_S,
        )
        if not isinstance(called, result.Success):
            self._metrics.count(f'peers.notice.{called.failure().reason}')
