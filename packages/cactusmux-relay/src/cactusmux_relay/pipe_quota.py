"""Rate limit of each instance on the links between zones ("pipes").

In a large fleet, load reports are sampled and up to 2 s old, so that many
instances see a link as idle and send prompts over it at the same time. Each
instance therefore limits itself, without messages, to its share: limit x
capacity / instances. It pays afterwards: what it sends is a debt, which its
share pays off over time, and it may send again once the debt is gone. Credit
doesn't accumulate, and unused credit expires, so that all instances together
don't fill a link that was idle.
"""

import collections
from collections.abc import Mapping
import math
import random
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

from . import cost_model
from . import desired_state
from . import path_choice
from . import share_bucket
from . import soft_exchange

# Time that a link needs to carry the unused credit of all instances under one
# limit. It is set to the interval that callers allow between the events of a
# stream, 0.25 s. With 0.125 s, fewer of the crossings that were needed were
# allowed, and bursts were hardly smaller (docs/design/uneven-pool.md).
UNUSED_CREDIT_S = 0.25
# Of the capacity, on top of the usual limit: the sum is the last-resort limit.
LAST_RESORT_SHARE = path_choice.LAST_RESORT_PIPE_LIMIT - path_choice.PIPE_LIMIT


class PipeReservation(NamedTuple):
    """A path's reservation on one link.

    :ivar pipe_s: time that the tokens take at the full capacity of the link.
    :ivar is_last: whether it was charged to the share of requests that would
        be rejected otherwise.
    """

    pipe: path_choice.Pipe
    pipe_s: float
    is_last: bool


# Reservations of a path on all links that it crosses.
Reservations = tuple[PipeReservation, ...]


class _PipeShare:
    """One instance's share of a link under one limit.

    The level of its bucket is in seconds of the link's capacity, so that
    requests of models with different token sizes can be added.
    """

    def __init__(
        self,
        limit: float,
        usual_request_s: float,
        now: float,
        instances: int,
        rng: random.Random,
    ) -> None:
        """Starts at a random point of the cycle of an unused share."""
        self._limit = limit
        self._usual_request_s = usual_request_s
        level_s = rng.uniform(-usual_request_s, UNUSED_CREDIT_S / instances)
        self._bucket = share_bucket.ShareBucket(now, level_s)

    @property
    def has_credit(self) -> bool:
        """Whether a request may cross under this limit."""
        return self._bucket.has_credit

    def update(self, now: float, instances: int) -> None:
        """Updates the level to the current time; unused credit expires."""
        max_credit_s = UNUSED_CREDIT_S / instances
        self._bucket.update(
            now,
            self._limit / instances,
            max_credit_s,
            self._usual_request_s + max_credit_s,
        )

    def charge(self, pipe_s: float) -> None:
        """Adds the time that a request takes of the link to the debt."""
        self._bucket.charge_all(pipe_s)

    def refund(self, pipe_s: float) -> None:
        """Refunds a debt; unused credit expires from now on as usual."""
        self._bucket.refund(pipe_s)

    def wait_s(self, instances: int) -> float:
        """Returns the time until the debt is paid off, in seconds."""
        return self._bucket.wait_s(self._limit / instances)


class _PipeShares(NamedTuple):
    """An instance's shares of one link, together its last-resort limit.

    :ivar last: for requests that would be rejected otherwise.
    """

    usual: _PipeShare
    last: _PipeShare

    def of(self, is_last: bool) -> _PipeShare:
        """Returns the share that a reservation is charged to."""
        return self.last if is_last else self.usual


class PipeQuota:
    """Decides whether this instance may send a request between two zones.

    Without debt, a request of any size may cross, so that large requests
    aren't blocked; the debt only takes longer to pay off.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._instances = 1
        self._shares_by_pipe: dict[path_choice.Pipe, _PipeShares] = {}

    def set_instances(self, count: int) -> None:
        """Sets the number of instances that share the links."""
        if count == self._instances:
            return
        for shares in self._shares_by_pipe.values():
            self._update(shares)
        self._instances = count
        if not self.is_active:
            self._shares_by_pipe.clear()
        self._metric.gauge('pipe_quota.instances', self._divided_by)

    @property
    def is_active(self) -> bool:
        """Whether the fleet is so large that load reports are sampled."""
        return self._instances - 1 > soft_exchange.MAX_BROADCAST_PEERS

    def is_limited(self, engine: desired_state.Engine) -> bool:
        """Returns whether an engine's links are limited by the quota."""
        return self.is_active and not math.isinf(engine.pipe_tokens_per_s)

    @property
    def _divided_by(self) -> int:
        return self._instances if self.is_active else 0

    def may_cross(
        self,
        engine: desired_state.Engine,
        pipe: path_choice.Pipe,
        limit: float = path_choice.PIPE_LIMIT,
    ) -> bool:
        """Returns whether a request may cross a link now, under a limit.

        :param limit: the usual one, or a higher one for a request that would
            be rejected otherwise.
        """
        if not self.is_limited(engine):
            return True
        shares = self._shares(engine, pipe)
        if shares.usual.has_credit:
            return True
        return limit > path_choice.PIPE_LIMIT and shares.last.has_credit

    def reserve(
        self,
        engine: desired_state.Engine,
        path: cost_model.Path,
        tokens: float,
        request_id: str,
    ) -> Reservations:
        """Reserves each link that a path crosses for a request.

        :returns: empty if no link is crossed or none is limited.
        """
        times_by_pipe = collections.Counter(path_choice.crossed_pipes(path))
        tokens_by_pipe = {
            pipe: times * tokens for pipe, times in times_by_pipe.items()
        }
        return self.reserve_each(engine, tokens_by_pipe, request_id)

    def reserve_each(
        self,
        engine: desired_state.Engine,
        tokens_by_pipe: Mapping[path_choice.Pipe, float],
        request_id: str,
    ) -> Reservations:
        """Reserves the tokens that are sent over each of these links."""
        if not self.is_limited(engine):
            return ()
        reservations = tuple(
            self._reserve(engine, pipe, tokens / engine.pipe_tokens_per_s)
            for pipe, tokens in tokens_by_pipe.items()
        )
        if reservations:
            tokens = max(tokens_by_pipe.values())
            self._log_reservations(reservations, tokens, request_id)
        return reservations

    def _reserve(
        self,
        engine: desired_state.Engine,
        pipe: path_choice.Pipe,
        pipe_s: float,
    ) -> PipeReservation:
        shares = self._shares(engine, pipe)
        is_last = not shares.usual.has_credit
        shares.of(is_last).charge(pipe_s)
        return PipeReservation(pipe, pipe_s, is_last)

    def release(self, reservations: Reservations) -> None:
        """Releases reservations for tokens that weren't sent."""
        if reservations:
            self._metric.count('relay.pipe_quota.returned')
        for reservation in reservations:
            shares = self._shares_by_pipe.get(reservation.pipe)
            if shares is not None:
                self._update(shares)
                shares.of(reservation.is_last).refund(reservation.pipe_s)

    def wait_s_by_pipe(self) -> dict[path_choice.Pipe, float]:
        """Returns the seconds until each link may be crossed again.

        This holds for all requests; those under the last-resort limit may be
        allowed earlier.
        """
        waits: dict[path_choice.Pipe, float] = {}
        for pipe, shares in self._shares_by_pipe.items():
            self._update(shares)
            waits[pipe] = shares.usual.wait_s(self._instances)
        return waits

    def _shares(
        self, engine: desired_state.Engine, pipe: path_choice.Pipe
    ) -> _PipeShares:
        shares = self._shares_by_pipe.get(pipe)
        if shares is None:
            usual = engine.usual_prompt + engine.usual_answer
            usual_request_s = usual / engine.pipe_tokens_per_s
            shares = _PipeShares(
                self._new_share(path_choice.PIPE_LIMIT, usual_request_s),
                self._new_share(LAST_RESORT_SHARE, usual_request_s),
            )
            self._shares_by_pipe[pipe] = shares
        self._update(shares)
        return shares

    def _new_share(self, limit: float, usual_request_s: float) -> _PipeShare:
        return _PipeShare(
            limit,
            usual_request_s,
            self._timer.now(),
            self._instances,
            self._rng,
        )

    def _update(self, shares: _PipeShares) -> None:
        now = self._timer.now()
        for each in shares:
            each.update(now, self._instances)

    def _log_reservations(
        self, reservations: Reservations, tokens: float, request_id: str
    ) -> None:
        is_last = any(each.is_last for each in reservations)
        limit = 'last' if is_last else 'usual'
        self._metric.count(f'relay.pipe_quota.taken.{limit}')
        waits = self.wait_s_by_pipe()
        for pipe, wait_s in waits.items():
            name = '_'.join(pipe).replace('-', '_')
            self._metric.gauge(f'pipe_quota.wait_seconds.{name}', wait_s)
        events.info(
            'pipe_share_taken',
            id=request_id,
            pipes=','.join('/'.join(each.pipe) for each in reservations),
            tokens=int(tokens),
            limit=limit,
            instances=self._instances,
            next_s=round(max(waits.values()), 1),
        )
