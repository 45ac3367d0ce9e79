"""Admission: who may start now, who waits, who is refused at once."""

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

# Streams run at this rate when the engines are not overloaded.
STREAM_TPS = 25.0
MAX_WAITING = 1024
PUMP_S = 0.1
NO_SHARE_RETRY_S = 60.0
NO_CAPACITY_RETRY_S = 4.0
# Who asks for so much more than its part is refused for its share.
EXCESS = 1.1
MIN_RATE_TPS = 1e-3
# Answers may be longer than expected, and run a little slower when busy.
RUN_MARGIN = 1.9

Decision = result.Result[tickets.Ticket, refusals.Refused]


class _Waiter(NamedTuple):
    entry: fair_queue.Entry
    request: tickets.RequestClass
    came_at: float
    answer: Callable[[Decision], None]
    timeout: timers.Subscription


class AdmissionController:
    """Admits requests within this instance's part of the pool.

    A request starts at once while there is room and nobody waits.
    Otherwise it waits its turn, unless it is predicted to start too late.

    :param share: this instance's part of the pool.
    :param meter: gets all demand, also what is refused.
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
        self._waiter_by_number: dict[int, _Waiter] = {}
        self._room = concurrency_limit.ConcurrencyLimit(stream_tps)
        self._places = retry_after.RetryAfterSchedule(timer, rng)
        self._pump_due = False
        self._draining = False

    def admit(self, request: tickets.RequestClass) -> Decision:
        """Waits for leave to start; a refusal comes as soon as it is known."""
        answered: event.AsyncResult = event.AsyncResult()
        self.submit(request, answered.set)
        return answered.get()

    def submit(
        self, request: tickets.RequestClass, answer: Callable[[Decision], None]
    ) -> None:
        """Calls ``answer`` exactly once, now or later."""
        leaf = demand.Leaf(request.service, request.organisation)
        self._meter.record(leaf, request.cost)
        refusal = self._refusal(leaf, request)
        if refusal is not None:
            self._refuse(request, refusal, answer)
            return
        self._enqueue(leaf, request, answer)
        self._pump()

    def release(self, ticket: tickets.Ticket, tokens: float) -> None:
        """Ends a request that took ``tokens``; a second call does nothing."""
        entry = self._room.running.end(ticket.number)
        if entry is None:
            return
        portions = self._share.shares().portion_by_leaf
        self._queue.charge(entry, tokens - entry.cost, _weights(portions))
        self._pump()

    def set_model_capacity(self, model: str, capacity_tps: float) -> None:
        """Takes in what all targets of a model can do together."""
        self._room.set_model_capacity(model, capacity_tps)
        self._pump()

    def drain(self) -> None:
        """Refuses all that wait, and from now on all that come."""
        self._draining = True
        for entry in self._queue.entries():
            waiter = self._waiter_by_number[entry.number]
            refusal = refusals.Draining(waiter.request.organisation, 0.0)
            self._give_up(waiter, refusal)

    @property
    def waiting(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """How many requests have leave and were not released."""
        return len(self._room.running.entry_by_number)

    def _refusal(
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
            if asked > portion.granted * EXCESS:
                return refusals.ShareExceeded(organisation, after_s)
            return refusals.PredictedLate(organisation, after_s)
        if len(self._queue) >= self._max_waiting:
            if not self._displace(leaf):
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
        """Returns how long it can wait and still meet its deadline."""
        left_s = request.deadline.left_s(self._timer.now())
        return left_s - RUN_MARGIN * request.cost / self._stream_tps

    def _retry_after_s(
        self, leaf: demand.Leaf, request: tickets.RequestClass
    ) -> float:
        rate_tps = self._rate_tps(leaf, request)
        wait_s = self._queue.cost_ahead(leaf, request.kind) / rate_tps
        return self._places.reserve(leaf, wait_s, request.cost / rate_tps)

    def _displace(self, leaf: demand.Leaf) -> bool:
        """Makes room by refusing one of the leaf that fills the queue."""
        longest = self._queue.largest_backlog()
        if longest is None or longest == leaf:
            return False
        waiter = self._waiter_by_number[self._queue.last(longest).number]
        if self._queue.waiting_cost(leaf) >= self._queue.waiting_cost(longest):
            return False
        request = waiter.request
        after_s = self._retry_after_s(longest, request)
        self._give_up(
            waiter, refusals.QueueFull(request.organisation, after_s)
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
        self._waiter_by_number[number] = _Waiter(
            entry, request, self._timer.now(), answer, timeout
        )
        self._queue.push(entry)
        self._note_backlog(leaf)

    def _time_out(self, number: int) -> None:
        waiter = self._waiter_by_number.get(number)
        if waiter is None:
            return
        leaf = waiter.entry.leaf
        after_s = self._retry_after_s(leaf, waiter.request)
        organisation = waiter.request.organisation
        self._give_up(waiter, refusals.WaitedTooLong(organisation, after_s))

    def _give_up(self, waiter: _Waiter, refusal: refusals.Refused) -> None:
        del self._waiter_by_number[waiter.entry.number]
        self._queue.remove(waiter.entry)
        self._note_backlog(waiter.entry.leaf)
        waiter.timeout.cancel()
        self._refuse(waiter.request, refusal, waiter.answer)

    def _note_backlog(self, leaf: demand.Leaf) -> None:
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
        """Starts all that there is room for, in turn."""
        while len(self._queue) and self._start_next():
            pass
        self._metric.gauge('admission.waiting', len(self._queue))
        if len(self._queue) and not self._pump_due:
            self._pump_due = True
            self._timer.after(PUMP_S, self._pump_again)

    def _pump_again(self) -> None:
        self._pump_due = False
        self._pump()

    def _start_next(self) -> bool:
        shares = self._share.shares()
        if not self._room.has_free_slot(shares):
            return False
        weights = _weights(shares.portion_by_leaf)
        for entry in self._queue.heads(weights):
            waiter = self._waiter_by_number[entry.number]
            priority = self._room.start_priority(waiter.request, shares)
            if priority is not None:
                self._queue.dequeue(entry, weights)
                self._note_backlog(entry.leaf)
                self._start(waiter, priority)
                return True
        return False

    def _start(self, waiter: _Waiter, priority: int) -> None:
        number = waiter.entry.number
        del self._waiter_by_number[number]
        waiter.timeout.cancel()
        self._room.running.begin(waiter.entry, waiter.request.model, priority)
        self._metric.count('admission.granted')
        waited_s = self._timer.now() - waiter.came_at
        ticket = tickets.Ticket(number, waiter.request, priority, waited_s)
        waiter.answer(result.Success(ticket))


def _weights(
    portion_by_leaf: Mapping[demand.Leaf, max_min.Portion],
) -> dict[demand.Leaf, float]:
    return {leaf: x.potential for leaf, x in portion_by_leaf.items()}
