"""Carries soft state between instances: pulls of deltas, and notices."""

import random

from cactusmux_base import metrics as metrics_lib
from cactusmux_base import timers
from returns import result

from . import encodings
from . import members
from . import membership
from . import neighbours
from . import peers_pb2
from . import records
from . import soft_state
from . import transport

PULL_PERIOD_S = 0.5
PULL_TIMEOUT_S = 1.0
# Of the pulls of a cycle one goes to the parent and one is an extra pull
# of what everyone exchanges.
CYCLE_TICKS = 4
PARENT_EVERY_TICKS = 2
NOTICE_FANOUT = 3
# News that comes together goes out together.
NOTICE_DELAY_S = 0.05
NOTICE_TIMEOUT_S = 0.5
MAX_NOTICE_ADDRESSES = 256
MAX_DIGEST_ORIGINS = 4096


class Exchange:
    """Pulls what is newer elsewhere, and answers pulls of others."""

    def __init__(
        self,
        view: membership.Membership,
        state: soft_state.SoftState,
        peers: transport.PeerTransport,
        timer: timers.TimerService,
        metrics: metrics_lib.Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._state = state
        self._peers = peers
        self._timer = timer
        self._metrics = metrics
        self._rng = rng
        self._neighbours = neighbours.Neighbours(view)
        self._ticks = 0
        self._notice: timers.Subscription | None = None
        state.on_leaving(self._schedule_notice)

    def tick(self) -> None:
        """Runs one period: one pull, and at times a second, wide one."""
        self._ticks += 1
        self._state.tick()
        parent = self._state.demand_tree.parent()
        if parent is not None and self._ticks % PARENT_EVERY_TICKS == 0:
            self._pull(parent, soft_state.Scope.REGION, to_parent=True)
        else:
            self._pull_from_any(soft_state.Scope.REGION)
        if self._ticks % CYCLE_TICKS == 0:
            self._pull_from_any(soft_state.Scope.EVERYWHERE)

    def handle_pull(self, pull: peers_pb2.Pull) -> peers_pb2.PullAnswer:
        """Answers what the asking instance does not have yet."""
        if len(pull.origins) != len(pull.versions):
            raise encodings.MalformedError('digest has unequal lists')
        if len(pull.origins) > MAX_DIGEST_ORIGINS:
            raise encodings.MalformedError('digest names too many origins')
        table = self._state.table_by_scope[soft_state.Scope(pull.scope)]
        digest = dict(zip(pull.origins, pull.versions, strict=True))
        answer = peers_pb2.PullAnswer(deltas=table.deltas_since(digest))
        if pull.HasField('demand'):
            unknown = self._state.demand_tree.receive(
                pull.sender_id, pull.demand
            )
            answer.unknown_keys.extend(unknown)
        return answer

    def handle_notice(
        self, notice: peers_pb2.Notice
    ) -> peers_pb2.NoticeAnswer:
        """Takes news of leaving targets; what is new is passed on."""
        if len(notice.leaving_addresses) > MAX_NOTICE_ADDRESSES:
            raise encodings.MalformedError('notice names too many targets')
        age_s_by_address = {
            address: age_ds * records.AGE_UNIT_S
            for address, age_ds in zip(
                notice.leaving_addresses, notice.ages_ds, strict=True
            )
        }
        self._state.note_leaving(age_s_by_address)
        return peers_pb2.NoticeAnswer()

    def _pull_from_any(self, scope: soft_state.Scope) -> None:
        for member in self._neighbours.sample(scope, 1, self._rng):
            self._pull(member, scope)

    def _pull(
        self,
        member: members.Member,
        scope: soft_state.Scope,
        to_parent: bool = False,
    ) -> None:
        table = self._state.table_by_scope[scope]
        origins = self._neighbours.origins(scope)
        pull = peers_pb2.Pull(
            scope=int(scope),
            origins=origins,
            versions=table.versions_of(origins),
        )
        if to_parent:
            pull.sender_id = self._view.own.instance_id
            pull.demand.CopyFrom(self._state.demand_tree.subtree())
        called = self._peers.call(
            member.peer_address,
            transport.Method.PULL,
            pull.SerializeToString(),
            PULL_TIMEOUT_S,
        )
        if not isinstance(called, result.Success):
            self._metrics.count(f'peers.pull.{called.failure().reason}')
            return
        try:
            answer = encodings.parse(peers_pb2.PullAnswer, called.unwrap())
            for delta in answer.deltas:
                table.merge(delta)
        except ValueError:
            self._metrics.count('peers.answer.malformed')
            return
        if to_parent:
            names = set(answer.unknown_keys)
            self._state.demand_tree.tell_names(names)

    def _schedule_notice(self) -> None:
        if self._notice is None:
            self._notice = self._timer.after(NOTICE_DELAY_S, self._notify)

    def _notify(self) -> None:
        """Passes news of leaving targets to a few members of the region."""
        self._notice = None
        age_s_by_address = self._state.take_leaving_news()
        chosen = self._neighbours.sample(
            soft_state.Scope.REGION, NOTICE_FANOUT, self._rng
        )
        addresses = list(age_s_by_address)
        for start in range(0, len(addresses), MAX_NOTICE_ADDRESSES):
            part = addresses[start : start + MAX_NOTICE_ADDRESSES]
            notice = peers_pb2.Notice(
                leaving_addresses=part,
                ages_ds=[
                    round(age_s_by_address[address] / records.AGE_UNIT_S)
                    for address in part
                ],
            )
            for member in chosen:
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
