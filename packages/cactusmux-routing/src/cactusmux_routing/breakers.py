"""Circuit breakers: targets that fail are ejected for a while.

Each instance judges by its own requests. An ejected target comes back by
one probe at a time; its time doubles with each failed probe.
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
# After so many ejections without a success between them it is the target
# rather than one caller's requests that always fail.
REPEATED_EJECTIONS = 2
# A probe that tells nothing for so long makes room for another one.
PROBE_TIMEOUT_S = 5.0

# Tells whether routes remain when these targets are lost.
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

    def note(self, failed: bool) -> None:
        self.samples += 1
        self.consecutive = self.consecutive + 1 if failed else 0
        self.failure_ratio += SMOOTHING * (failed - self.failure_ratio)

    @property
    def is_bad(self) -> bool:
        if self.consecutive >= CONSECUTIVE_FAILURES:
            return True
        ratio_counts = self.samples >= MIN_SAMPLES
        return ratio_counts and self.failure_ratio >= FAILURE_RATIO


class Breakers:
    """One breaker a target.

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
        self._check_at = float('inf')

    def ejected(self) -> frozenset[str]:
        """Returns the targets that get no work now."""
        if self._timer.now() >= self._check_at:
            self._renew()
        return self._ejected

    def ejected_repeatedly(self) -> frozenset[str]:
        """Returns the ejected targets whose last probe has failed, too."""
        return frozenset(
            address
            for address in self.ejected()
            if self._breaker_by_address[address].ejections
            >= REPEATED_EJECTIONS
        )

    def record_started(self, address: str) -> None:
        """Notes a request to a target; past its time it is the probe."""
        breaker = self._breaker_by_address.get(address)
        if breaker is None or breaker.open_until is None:
            return
        if breaker.probing_until is None:
            breaker.probing_until = self._timer.now() + PROBE_TIMEOUT_S
            self._metric.count('breaker.probe')
            self._renew()

    def record_success(self, address: str) -> None:
        """Notes that a target works; this closes its breaker.

        The first token of a stream is enough to tell.
        """
        breaker = self._breaker_by_address.get(address)
        if breaker is None:
            return
        if breaker.open_until is None:
            breaker.note(failed=False)
            return
        if breaker.probing_until is None:
            # The answer to a request from before the ejection.
            return
        del self._breaker_by_address[address]
        self._open.discard(address)
        self._metric.count('breaker.closed')
        events.info('target_readmitted', address=address)
        self._renew()

    def record_failure(self, address: str, certain: bool = False) -> None:
        """Notes a failure; a ``certain`` one ejects at once.

        Certain is what only the target itself can have caused, such as a
        refused connection. For a stall, note all targets of its route:
        those that are well clear themselves by other requests.
        """
        breaker = self._breaker_by_address.setdefault(address, _Breaker())
        breaker.note(failed=True)
        if breaker.open_until is not None:
            if breaker.probing_until is not None:
                self._eject(address, breaker)
        elif certain or breaker.is_bad:
            self._eject(address, breaker)

    def record_abandoned(self, address: str) -> None:
        """Notes that a request ended without telling anything."""
        breaker = self._breaker_by_address.get(address)
        if breaker and breaker.probing_until is not None:
            breaker.probing_until = None
            self._renew()

    def forget(self, address: str) -> None:
        """Forgets a target that is gone."""
        if self._breaker_by_address.pop(address, None) is not None:
            self._open.discard(address)
            self._renew()

    def _eject(self, address: str, breaker: _Breaker) -> None:
        lost = self._ejected | {address}
        if not self._can_lose(lost):
            self._metric.count('breaker.ejection_withheld')
            self.record_abandoned(address)
            return
        longest_s = min(
            BASE_EJECTION_S * 2.0 ** min(breaker.ejections, 16),
            MAX_EJECTION_S,
        )
        ejection_s = longest_s * self._rng.uniform(1.0 - JITTER, 1.0)
        breaker.ejections += 1
        breaker.probing_until = None
        breaker.open_until = self._timer.now() + ejection_s
        self._open.add(address)
        self._metric.count('breaker.ejected')
        events.warning(
            'target_ejected', address=address, seconds=round(ejection_s, 3)
        )
        self._renew()

    def _renew(self) -> None:
        now = self._timer.now()
        ejected = set()
        self._check_at = float('inf')
        for address in self._open:
            breaker = self._breaker_by_address[address]
            until = breaker.probing_until or breaker.open_until or 0.0
            if until > now:
                ejected.add(address)
                self._check_at = min(self._check_at, until)
            else:
                breaker.probing_until = None
        self._ejected = frozenset(ejected)
