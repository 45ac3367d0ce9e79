"""Base class of the ways to claim an idempotency key."""

import abc

from cactusmux_base import metrics
from cactusmux_base import timers
from returns import result

from . import claims


class BaseClaims(claims.Claims):
    """Rejects claims that need no store call, and counts outcomes."""

    def __init__(
        self,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        instance_id: str,
        settings: claims.ClaimSettings,
    ) -> None:
        self._timer = timer
        self._metric = metric
        self._instance_id = instance_id
        self._settings = settings
        self._stopped = False

    def stop(self) -> None:
        self._stopped = True

    def claim(self, request: claims.ClaimRequest) -> claims.Claimed:
        claimed = self._claim(request)
        if isinstance(claimed, result.Failure):
            self._metric.count(f'claims.refused.{claimed.failure().reason}')
        elif isinstance(claimed.unwrap(), claims.Grant):
            self._metric.count('claims.won')
        else:
            self._metric.count('claims.repeated')
        return claimed

    def _claim(self, request: claims.ClaimRequest) -> claims.Claimed:
        key = request.idempotency_key
        if self._stopped:
            return result.Failure(claims.ClaimsStopped(key))
        wall = self._timer.wall()
        if claims.is_expired(key, wall, self._settings.retention_s):
            return result.Failure(claims.KeyExpired(key))
        grant = claims.new_grant(
            request, self._timer, self._instance_id, self._settings
        )
        return self._acquire(grant)

    @abc.abstractmethod
    def _acquire(self, grant: claims.Grant) -> claims.Claimed:
        """Tries to write the claim of ``grant``."""

    @abc.abstractmethod
    def _record(self, grant: claims.Grant, record: claims.ClaimRecord) -> None:
        """Writes the outcome of a won claim, at once or deferred."""

    def may_dispatch(self, grant: claims.Grant) -> bool:
        return self._timer.now() < grant.dispatch_by

    def finish(self, grant: claims.Grant, outcome: claims.Outcome) -> None:
        state = claims.ClaimState.FINISHED
        record = grant.record._replace(state=state, outcome=outcome)
        self._record(grant, record)

    def mark_outcome_unknown(self, grant: claims.Grant) -> None:
        state = claims.ClaimState.UNKNOWN
        self._record(grant, grant.record._replace(state=state))

    def release(self, grant: claims.Grant) -> None:
        self._record(grant, claims.released(grant.record))
