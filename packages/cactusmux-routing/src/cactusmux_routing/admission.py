"""Admission control: starts, queues or rejects requests."""

from collections.abc import Callable, Mapping
import itertools
import random
from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_base import timers
from gevent import event
from returns import result

from . import concurrency_limit
from . import demand
from . import fair_queue
from . import fair_share
from . import max_min
from . import refusals
from . import retry_after
from . import tickets

# Decode rate of one stream when the engines are not overloaded.
STREAM_TPS = 25.0
MAX_WAITING = 1024
PUMP_INTERVAL_S = 0.1
NO_SHARE_RETRY_S = 60.0
NO_CAPACITY_RETRY_S = 4.0
# An organisation whose demand exceeds its granted rate by this factor is
# rejected with ``ShareExceeded``.
SHARE_EXCESS_FACTOR = 1.1
MIN_RATE_TPS = 1e-3
# Allows for answers that are longer than expected and for streams that run
# somewhat slower under load.
RUN_TIME_MARGIN = 1.9

Decision = result.Result[tickets.Ticket, refusals.Refused]


class _QueuedRequest(NamedTuple):
    entry: fair_queue.Entry
    request: tickets.RequestClass
    came_at: float
    answer: Callable[[Decision], None]
    timeout: timers.Subscription


class AdmissionController:
    """Admits requests within this instance's share of the pool.

    A request starts at once while there is capacity and the queue is empty.
    Otherwise it is queued, unless it is predicted to start too late for its
    deadline.

    :param share: this instance's share of the pool.
    :param meter: records all demand, including rejected requests.
    :param rng: seeded source of randomness for jitter.
    """

    def __init__(
        self,
        timer: timers.TimerService,
        rng: random.Random,
        share: fair_share.FairShare,
        meter: demand.DemandMeter,
        metric: metrics.Metrics,
        stream_tps: float = STREAM_TPS,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self._timer = timer
        self._rng = rng
        self._share = share
        self._meter = meter
        self._metric = metric
        self._stream_tps = stream_tps
        self._max_waiting = max_waiting
        self._numbers = itertools.count(1)
        self._queue = fair_queue.FairQueue()
        self._queued_by_number: dict[int, _QueuedRequest] = {}
        self._concurrency = concurrency_limit.ConcurrencyLimit(stream_tps)
        self._retry_after = retry_after.RetryAfterSchedule(timer, rng)
        self._pump_due = False
        self._draining = False

    def admit(self, request: tickets.RequestClass) -> Decision:
        """Blocks until the request may start or is rejected.

        A rejection is returned as soon as it is certain.
        """
        answered: event.AsyncResult = event.AsyncResult()
        self.submit(request, answered.set)
        return answered.get()

    def submit(
        self, request: tickets.RequestClass, answer: Callable[[Decision], None]
    ) -> None:
        """Calls ``answer`` exactly once, immediately or later."""
        leaf = demand.Leaf(request.service, request.organisation)
        self._meter.record(leaf, request.cost)
        refusal = self._check(leaf, request)
        if refusal is not None:
            self._refuse(request, refusal, answer)
            return
        self._enqueue(leaf, request, answer)
        self._pump()

    def release(self, ticket: tickets.Ticket, tokens: float) -> None:
        """Ends a request that used ``tokens``.

        Repeated calls have no effect.
        """
        entry = self._concurrency.running.end(ticket.number)
        if entry is None:
            return
        portions = self._share.shares().portion_by_leaf
        self._queue.charge(entry, tokens - entry.cost, _weights(portions))
        self._pump()

    def set_model_capacity(self, model: str, capacity_tps: float) -> None:
        """Sets the combined capacity of all targets of a model."""
        self._concurrency.set_model_capacity(model, capacity_tps)
        self._pump()

    def drain(self) -> None:
        """Rejects all queued requests and all later ones."""
        self._draining = True
        for entry in self._queue.entries():
            queued = self._queued_by_number[entry.number]
            refusal = refusals.Draining(queued.request.organisation, 0.0)
            self._reject_queued(queued, refusal)

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of requests that were admitted and not yet released."""
        return len(self._concurrency.running.entry_by_number)

    def _check(
        self, leaf: demand.Leaf, request: tickets.RequestClass
    ) -> refusals.Refused | None:
        organisation = request.organisation
        if self._draining:
            return refusals.Draining(organisation, 0.0)
        if self._shares_with(leaf).capacity_tps <= 0:
            after_s = self._rng.uniform(0.5, 1.0) * NO_CAPACITY_RETRY_S
            return refusals.NoCapacity(organisation, after_s)
        portion = self._shares_with(leaf).portion_by_leaf[leaf]
        if portion.potential <= 0:
            return refusals.NoShare(organisation, NO_SHARE_RETRY_S)
        rate_tps = self._rate_tps(leaf, request)
        wait_s = self._queue.cost_ahead(leaf, request.kind) / rate_tps
        if wait_s > self._slack_s(request):
            after_s = self._retry_after_s(leaf, request)
            asked = self._meter.tps_by_leaf().get(leaf, 0.0)
            if asked > portion.granted * SHARE_EXCESS_FACTOR:
                return refusals.ShareExceeded(organisation, after_s)
            return refusals.PredictedLate(organisation, after_s)
        if len(self._queue) >= self._max_waiting:
            if not self._evict_from_largest(leaf):
                after_s = self._retry_after_s(leaf, request)
                return refusals.QueueFull(organisation, after_s)
        return None

    def _shares_with(self, leaf: demand.Leaf) -> fair_share.Shares:
        shares = self._share.shares()
        if leaf in shares.portion_by_leaf:
            return shares
        return self._share.refresh()

    def _rate_tps(
        self, leaf: demand.Leaf, request: tickets.RequestClass
    ) -> float:
        """Predicts the rate at which the kind's queue is served."""
        portions = self._share.shares().portion_by_leaf
        portion = portions.get(leaf, fair_share.ZERO_PORTION)
        part = self._queue.kind_fraction(
            leaf, request.kind, tickets.kind_weight(request)
        )
        return max(portion.potential * part, MIN_RATE_TPS)

    def _slack_s(self, request: tickets.RequestClass) -> float:
        """Returns the longest wait after which the deadline can be met."""
        left_s = request.deadline.left_s(self._timer.now())
        return left_s - RUN_TIME_MARGIN * request.cost / self._stream_tps

    def _retry_after_s(
        self, leaf: demand.Leaf, request: tickets.RequestClass
    ) -> float:
        rate_tps = self._rate_tps(leaf, request)
        wait_s = self._queue.cost_ahead(leaf, request.kind) / rate_tps
        return self._retry_after.reserve(leaf, wait_s, request.cost / rate_tps)

    def _evict_from_largest(self, leaf: demand.Leaf) -> bool:
        """Frees a queue slot by rejecting a request of the largest backlog.

        Returns ``False`` if the backlog of ``leaf`` is itself the largest.
        """
        largest = self._queue.largest_backlog()
        if largest is None or largest == leaf:
            return False
        queued = self._queued_by_number[
            self._queue.least_urgent(largest).number
        ]
        if self._queue.waiting_cost(leaf) >= self._queue.waiting_cost(largest):
            return False
        request = queued.request
        after_s = self._retry_after_s(largest, request)
        self._reject_queued(
            queued, refusals.QueueFull(request.organisation, after_s)
        )
        return True

    def _enqueue(
        self,
        leaf: demand.Leaf,
        request: tickets.RequestClass,
        answer: Callable[[Decision], None],
    ) -> None:
        number = next(self._numbers)
        entry = fair_queue.Entry(
            request.deadline.ends_at,
            number,
            leaf,
            request.kind,
            tickets.kind_weight(request),
            request.cost,
        )
        timeout = self._timer.after(
            max(self._slack_s(request), 0.0), lambda: self._time_out(number)
        )
        self._queued_by_number[number] = _QueuedRequest(
            entry, request, self._timer.now(), answer, timeout
        )
        self._queue.push(entry)
        self._report_backlog(leaf)

    def _time_out(self, number: int) -> None:
        queued = self._queued_by_number.get(number)
        if queued is None:
            return
        leaf = queued.entry.leaf
        after_s = self._retry_after_s(leaf, queued.request)
        organisation = queued.request.organisation
        self._reject_queued(
            queued, refusals.WaitedTooLong(organisation, after_s)
        )

    def _reject_queued(
        self, queued: _QueuedRequest, refusal: refusals.Refused
    ) -> None:
        del self._queued_by_number[queued.entry.number]
        self._queue.remove(queued.entry)
        self._report_backlog(queued.entry.leaf)
        queued.timeout.cancel()
        self._refuse(queued.request, refusal, queued.answer)

    def _report_backlog(self, leaf: demand.Leaf) -> None:
        self._meter.set_backlog(leaf, self._queue.waiting_cost(leaf))

    def _refuse(
        self,
        request: tickets.RequestClass,
        refusal: refusals.Refused,
        answer: Callable[[Decision], None],
    ) -> None:
        self._metric.count(f'admission.refused.{refusal.reason}')
        answer(result.Failure(refusal))

    def _pump(self) -> None:
        """Starts queued requests in fair order until capacity is used up."""
        while len(self._queue) and self._start_next():
            pass
        self._metric.gauge('admission.waiting', len(self._queue))
        if len(self._queue) and not self._pump_due:
            self._pump_due = True
            self._timer.after(PUMP_INTERVAL_S, self._pump_again)

    def _pump_again(self) -> None:
        self._pump_due = False
        self._pump()

    def _start_next(self) -> bool:
        shares = self._share.shares()
        if not self._concurrency.has_free_slot(shares):
            return False
        weights = _weights(shares.portion_by_leaf)
        for entry in self._queue.heads(weights):
            queued = self._queued_by_number[entry.number]
            priority = self._concurrency.start_priority(queued.request, shares)
            if priority is not None:
                self._queue.dequeue(entry, weights)
                self._report_backlog(entry.leaf)
                self._start(queued, priority)
                return True
        return False

    def _start(self, queued: _QueuedRequest, priority: int) -> None:
        number = queued.entry.number
        del self._queued_by_number[number]
        queued.timeout.cancel()
        self._concurrency.running.begin(
            queued.entry, queued.request.model, priority
        )
        self._metric.count('admission.granted')
        waited_s = self._timer.now() - queued.came_at
        ticket = tickets.Ticket(number, queued.request, priority, waited_s)
        queued.answer(result.Success(ticket))


def _weights(
    portion_by_leaf: Mapping[demand.Leaf, max_min.Portion],
) -> dict[demand.Leaf, float]:
    return {leaf: x.potential for leaf, x in portion_by_leaf.items()}
