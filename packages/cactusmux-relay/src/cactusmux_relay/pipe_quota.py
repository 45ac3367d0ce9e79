"""Divides the pipes between zones among many instances, without messages.

It answers the load in which each of many instances sees a pipe as nearly
idle and all send prompts through it at the same time: loads that are told in
samples, up to 2 s late, can't prevent that. Each instance may send its share,
limit x capacity / instances, and pays for a crossing afterwards: what it has
sent is a debt, which its share pays off, and it may cross again without debt.
The right to cross doesn't accumulate, and one that isn't used lapses, so that
a pipe that was idle isn't filled by all instances at once.
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
from . import soft_exchange

# Rights to cross that stand unused in all instances, under one limit, pass
# through a pipe in about so long: callers allow a pause of 0.25 s between the
# events of a stream. With 0.125 s fewer of the crossings that were needed got
# a right, and a burst was hardly smaller (docs/design/uneven-pool.md).
UNUSED_PIPE_S = 0.25
# Of a pipe, beside the usual share: both stay within the last limit.
LAST_SHARE = path_choice.LAST_RESORT_PIPE_LIMIT - path_choice.PIPE_LIMIT


class PipeReservation(NamedTuple):
    """What a path has taken of one pipe.

    :ivar pipe_s: time that the tokens take of the whole pipe.
    :ivar is_last: whether the share of requests that would be refused
        otherwise gave it.
    """

    pipe: path_choice.Pipe
    pipe_s: float
    is_last: bool


# What a path has taken of all its pipes.
Reservations = tuple[PipeReservation, ...]


class _Share:
    """One instance's share of a pipe under one limit.

    The level is in seconds of the pipe's capacity, so that requests of models
    with tokens of different size can be added. It is negative while what was
    sent isn't paid off.
    """

    def __init__(self, limit: float, usual_s: float) -> None:
        self._limit = limit
        self._usual_s = usual_s
        self.level_s = 0.0
        self._at = 0.0

    def start(self, now: float, instances: int, rng: random.Random) -> None:
        """Begins anywhere in the cycle of a share that nobody uses."""
        self._at = now
        self.level_s = rng.uniform(-self._usual_s, UNUSED_PIPE_S / instances)

    def settle(self, now: float, instances: int) -> None:
        """Pays off the debt up to now; a right unused for long lapses."""
        unused_s = UNUSED_PIPE_S / instances
        self.level_s += (now - self._at) * self._limit / instances
        self._at = now
        if self.level_s > unused_s:
            cycle_s = self._usual_s + unused_s
            cycles = math.ceil((self.level_s - unused_s) / cycle_s)
            self.level_s -= cycles * cycle_s

    def take(self, pipe_s: float) -> None:
        """Owes the time that a request takes of the pipe."""
        self.level_s = min(self.level_s, 0.0) - pipe_s

    def give_back(self, pipe_s: float) -> None:
        """Takes back a debt; the right to cross stands anew from now."""
        if self.level_s < 0.0:
            self.level_s = min(self.level_s + pipe_s, 0.0)

    def wait_s(self, instances: int) -> float:
        """Returns how long the debt lasts."""
        return max(0.0, -self.level_s) * instances / self._limit


class _Shares(NamedTuple):
    """An instance's shares of one pipe, together within the last limit.

    :ivar last: for requests that would be refused otherwise.
    """

    usual: _Share
    last: _Share

    def of(self, is_last: bool) -> _Share:
        """Returns one of the shares."""
        return self.last if is_last else self.usual


class PipeQuota:
    """Says whether this instance may send a request between two zones.

    Without debt a request of any size may cross: the largest ones aren't
    shut out, the instance only pays for longer.
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
        self._shares_by_pipe: dict[path_choice.Pipe, _Shares] = {}

    def set_instances(self, count: int) -> None:
        """Sets among how many instances the pipes are divided."""
        if count == self._instances:
            return
        for shares in self._shares_by_pipe.values():
            self._settle(shares)
        self._instances = count
        if not self.is_active:
            self._shares_by_pipe.clear()
        self._metric.gauge('pipe_quota.instances', self._divided_by)

    @property
    def is_active(self) -> bool:
        """Whether loads are known only by samples: in a large fleet."""
        return self._instances - 1 > soft_exchange.MAX_BROADCAST_PEERS

    def divides(self, engine: desired_state.Engine) -> bool:
        """Whether an engine's pipes are divided among the instances."""
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
        """Whether a request may cross a pipe now, under a limit.

        :param limit: the one of all requests, or a higher one for a request
            that would be refused otherwise.
        """
        if not self.divides(engine):
            return True
        shares = self._shares(engine, pipe)
        if shares.usual.level_s >= 0.0:
            return True
        return limit > path_choice.PIPE_LIMIT and shares.last.level_s >= 0.0

    def reserve(
        self,
        engine: desired_state.Engine,
        path: cost_model.Path,
        tokens: float,
        request_id: str,
    ) -> Reservations:
        """Takes what a request needs of each pipe that its path crosses.

        :returns: nothing where it needs nothing.
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
        """Takes what is sent through each of these pipes at once."""
        if not self.divides(engine):
            return ()
        grant = tuple(
            self._take(engine, pipe, tokens / engine.pipe_tokens_per_s)
            for pipe, tokens in tokens_by_pipe.items()
        )
        if grant:
            tokens = max(tokens_by_pipe.values())
            self._note_taken(grant, tokens, request_id)
        return grant

    def _take(
        self,
        engine: desired_state.Engine,
        pipe: path_choice.Pipe,
        pipe_s: float,
    ) -> PipeReservation:
        shares = self._shares(engine, pipe)
        is_last = shares.usual.level_s < 0.0
        shares.of(is_last).take(pipe_s)
        return PipeReservation(pipe, pipe_s, is_last)

    def release(self, grant: Reservations) -> None:
        """Takes back what was taken for tokens that haven't been sent."""
        if grant:
            self._metric.count('relay.pipe_quota.returned')
        for taken in grant:
            shares = self._shares_by_pipe.get(taken.pipe)
            if shares is not None:
                self._settle(shares)
                shares.of(taken.is_last).give_back(taken.pipe_s)

    def wait_s_by_pipe(self) -> dict[path_choice.Pipe, float]:
        """Returns when each pipe may next be crossed by any request."""
        waits: dict[path_choice.Pipe, float] = {}
        for pipe, shares in self._shares_by_pipe.items():
            self._settle(shares)
            waits[pipe] = shares.usual.wait_s(self._instances)
        return waits

    def _shares(
        self, engine: desired_state.Engine, pipe: path_choice.Pipe
    ) -> _Shares:
        shares = self._shares_by_pipe.get(pipe)
        if shares is None:
            usual = engine.usual_prompt + engine.usual_answer
            usual_s = usual / engine.pipe_tokens_per_s
            shares = _Shares(
                _Share(path_choice.PIPE_LIMIT, usual_s),
                _Share(LAST_SHARE, usual_s),
            )
            for each in shares:
                each.start(self._timer.now(), self._instances, self._rng)
            self._shares_by_pipe[pipe] = shares
        self._settle(shares)
        return shares

    def _settle(self, shares: _Shares) -> None:
        now = self._timer.now()
        for each in shares:
            each.settle(now, self._instances)

    def _note_taken(
        self, grant: Reservations, tokens: float, request_id: str
    ) -> None:
        is_last = any(each.is_last for each in grant)
        limit = 'last' if is_last else 'usual'
        self._metric.count(f'relay.pipe_quota.taken.{limit}')
        waits = self.wait_s_by_pipe()
        for pipe, wait_s in waits.items():
            name = '_'.join(pipe).replace('-', '_')
            self._metric.gauge(f'pipe_quota.wait_seconds.{name}', wait_s)
        events.info(
            'pipe_share_taken',
            id=request_id,
            pipes=','.join('/'.join(each.pipe) for each in grant),
            tokens=int(tokens),
            limit=limit,
            instances=self._instances,
            next_s=round(max(waits.values()), 1),
        )
