"""Targets that asked this instance to back off for some time.

A target that rejects a request may send a Retry-After time. The backoff
applies to one start of the target and to this instance only; other instances
learn of it from their own requests.
"""

from collections.abc import Callable, Iterable, Sequence

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

from . import target_registry
from . import targets

# Upper limit of a backoff, also if a target asks for a longer one.
MAX_BACK_OFF_S = 300.0


class Backoffs:
    """Tracks until when targets are in backoff."""

    def __init__(
        self,
        registry: target_registry.TargetRegistry,
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self._registry = registry
        self._timer = timer
        self._metric = metric
        self._until_by_start: dict[targets.Start, float] = {}

    def record_retry_after(
        self, target: targets.Target, seconds: float, at_fault: str | None
    ) -> None:
        """Records the Retry-After time of a target that rejected a request.

        :param seconds: the Retry-After time.
        :param at_fault: address of the target that the response names as the
            cause; the backoff applies to that target too.
        """
        self._back_off(target, seconds)
        named = self._registry.target_by_address.get(at_fault or '')
        if named is not None and named.id != target.id:
            self._back_off(named, seconds)

    def _back_off(self, target: targets.Target, seconds: float) -> None:
        now = self._timer.now()
        until = now + min(seconds, MAX_BACK_OFF_S)
        start = target.start
        known_until = self._until_by_start.get(start, now)
        if until <= known_until:
            return
        self._until_by_start[start] = until
        if known_until > now:
            return
        self._metric.count('relay.target_backs_off')
        events.info(
            'target_backs_off',
            target=target.id,
            address=target.address,
            born_ms=target.born_ms,
            seconds=round(until - now, 3),
        )

    @property
    def ids(self) -> frozenset[str]:
        """Ids of the targets that are in backoff now."""
        if not self._until_by_start:
            return frozenset()
        self._drop_expired()
        return frozenset(
            start.target_id
            for start in self._until_by_start
            if self._is_current(start)
        )

    def left_s(self, target: targets.Target) -> float:
        """Returns the remaining backoff of a target in seconds."""
        until = self._until_by_start.get(target.start, 0.0)
        return max(0.0, until - self._timer.now())

    def wait_s(
        self,
        candidates: Sequence[targets.Target],
        is_sufficient: Callable[[Iterable[targets.Target]], bool] = any,
    ) -> float:
        """Returns after how many seconds enough targets are available again.

        0 if enough are available now, or if all of them wouldn't suffice.

        :param is_sufficient: whether these targets could serve a request; one
            of them is enough by default.
        """
        if not self.ids:
            return 0.0
        left_by_id = {each.id: self.left_s(each) for each in candidates}
        for wait_s in sorted(set(left_by_id.values())):
            free = [
                each for each in candidates if left_by_id[each.id] <= wait_s
            ]
            if is_sufficient(free):
                return wait_s
        return 0.0

    def _drop_expired(self) -> None:
        now = self._timer.now()
        for start, until in list(self._until_by_start.items()):
            if until <= now:
                del self._until_by_start[start]

    def _is_current(self, start: targets.Start) -> bool:
        target = self._registry.target_by_id.get(start.target_id)
        return target is not None and target.born_ms == start.born_ms
