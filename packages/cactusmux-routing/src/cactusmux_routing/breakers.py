"""Circuit breakers that eject failing targets temporarily.

Each instance decides from its own requests only. An ejected target is
readmitted through one probe request at a time; the ejection time doubles with
each failed probe.
"""

from collections.abc import Callable
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers

CONSECUTIVE_FAILURES = 3
FAILURE_RATIO = 0.5
MIN_SAMPLES = 8
SMOOTHING = 0.1
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 5.0
JITTER = 0.5
MAX_EJECTED_FRACTION = 0.5
# After this many ejections without a success in between, the target itself is
# taken to be at fault, rather than one caller's requests that always fail.
REPEATED_EJECTIONS = 2
# A probe without a result for this long is given up, so that another request
# can act as the probe.
PROBE_TIMEOUT_S = 5.0

# Returns whether every model keeps a route without these targets.
CanLose = Callable[[frozenset[str]], bool]


class _Breaker:
    __slots__ = (
        'consecutive',
        'samples',
        'failure_ratio',
        'ejections',
        'open_until',
        'probing_until',
    )

    def __init__(self) -> None:
        self.consecutive = 0
        self.samples = 0
        self.failure_ratio = 0.0
        self.ejections = 0
        self.open_until: float | None = None
        self.probing_until: float | None = None

    def record(self, failed: bool) -> None:
        self.samples += 1
        self.consecutive = self.consecutive + 1 if failed else 0
        self.failure_ratio += SMOOTHING * (failed - self.failure_ratio)

    @property
    def is_tripped(self) -> bool:
        if self.consecutive >= CONSECUTIVE_FAILURES:
            return True
        ratio_counts = self.samples >= MIN_SAMPLES
        return ratio_counts and self.failure_ratio >= FAILURE_RATIO


class Breakers:
    """A circuit breaker for each target.

    :param can_lose: vetoes ejections that would leave no route.
    :param rng: seeded source of randomness for jitter.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        metric: metrics.Metrics,
        can_lose: CanLose,
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._metric = metric
        self._can_lose = can_lose
        self._breaker_by_address: dict[str, _Breaker] = {}
        self._open: set[str] = set()
        self._ejected: frozenset[str] = frozenset()
        self._refresh_at = float('inf')

    def ejected(self) -> frozenset[str]:
        """Returns the targets that currently receive no requests."""
        if self._timer.now() >= self._refresh_at:
            self._refresh_ejected()
        return self._ejected

    def ejected_repeatedly(self) -> frozenset[str]:
        """Returns the ejected targets whose last probe also failed."""
        return frozenset(
            address
            for address in self.ejected()
            if self._breaker_by_address[address].ejections
            >= REPEATED_EJECTIONS
        )

    def record_started(self, address: str) -> None:
        """Records a request; after the ejection time, it is the probe."""
        breaker = self._breaker_by_address.get(address)
        if breaker is None or breaker.open_until is None:
            return
        if breaker.probing_until is None:
            breaker.probing_until = self._timer.now() + PROBE_TIMEOUT_S
            self._metric.count('breaker.probe')
            self._refresh_ejected()

    def record_success(self, address: str) -> None:
        """Records a success, which closes the breaker.

        The first token of a stream counts as a success. Successes of requests
        that were sent before the ejection are ignored.
        """
        breaker = self._breaker_by_address.get(address)
        if breaker is None:
            return
        if breaker.open_until is None:
            breaker.record(failed=False)
            return
        if breaker.probing_until is None:
            # The request was sent before the ejection.
            return
        del self._breaker_by_address[address]
        self._open.discard(address)
        self._metric.count('breaker.closed')
        events.info('target_readmitted', address=address)
        self._refresh_ejected()

    def record_failure(self, address: str, certain: bool = False) -> None:
        """Records a failure; a ``certain`` one ejects the target at once.

        A failure is certain if only the target itself can have caused it, such
        as a refused connection. After a stall, call this for all targets of
        the route: the healthy ones are cleared by the success of other
        requests.
        """
        breaker = self._breaker_by_address.setdefault(address, _Breaker())
        breaker.record(failed=True)
        if breaker.open_until is not None:
            if breaker.probing_until is not None:
                self._eject(address, breaker)
        elif certain or breaker.is_tripped:
            self._eject(address, breaker)

    def record_abandoned(self, address: str) -> None:
        """Records a request that ended without evidence either way."""
        breaker = self._breaker_by_address.get(address)
        if breaker and breaker.probing_until is not None:
            breaker.probing_until = None
            self._refresh_ejected()

    def forget(self, address: str) -> None:
        """Drops the state of a target that no longer exists."""
        if self._breaker_by_address.pop(address, None) is not None:
            self._open.discard(address)
            self._refresh_ejected()

    def _eject(self, address: str, breaker: _Breaker) -> None:
        lost = self._ejected | {address}
        if not self._can_lose(lost):
            self._metric.count('breaker.ejection_withheld')
            self.record_abandoned(address)
            return
        max_ejection_s = min(
            BASE_EJECTION_S * 2.0 ** min(breaker.ejections, 16),
            MAX_EJECTION_S,
        )
        ejection_s = max_ejection_s * self._rng.uniform(1.0 - JITTER, 1.0)
        breaker.ejections += 1
        breaker.probing_until = None
        breaker.open_until = self._timer.now() + ejection_s
        self._open.add(address)
        self._metric.count('breaker.ejected')
        events.warning(
            'target_ejected', address=address, seconds=round(ejection_s, 3)
        )
        self._refresh_ejected()

    def _refresh_ejected(self) -> None:
        now = self._timer.now()
        ejected = set()
        self._refresh_at = float('inf')
        for address in self._open:
            breaker = self._breaker_by_address[address]
            until = breaker.probing_until or breaker.open_until or 0.0
            if until > now:
                ejected.add(address)
                self._refresh_at = min(self._refresh_at, until)
            else:
                breaker.probing_until = None
        self._ejected = frozenset(ejected)
