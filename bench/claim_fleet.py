"""Several instances in one process that run claimed requests under faults.

Used by the state machine tests and by the benchmark. Both check that a key
runs at most once and that "not run" responses are true.
"""

import collections
from collections.abc import Callable
import random
from typing import NamedTuple, NoReturn

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import batched_claims
from cactusmux_control import claim_owner
from cactusmux_control import claim_writes
from cactusmux_control import claims
from cactusmux_control import direct_claims
from cactusmux_entry import explain
from cactusmux_entry import plain_calls
from cactusmux_entry import plain_results
from cactusmux_fakes import memory_store
from cactusmux_fakes import scripted_store
from cactusmux_peers import transport
from cactusmux_platform import plain_services
from cactusmux_platform import stores
from cactusmux_routing import retries
from returns import result

SERVICE = 'consigna-arte'
ORGANISATION = 'galeria-barranco'
DEADLINE_S = 10.0
HEAL_S = 120.0
MAX_NESTING = 2
MAX_REPEATS = 3

ClaimsFactory = Callable[
    [stores.ConfigStore, timers.TimerService, metrics.Metrics, str],
    claims.Claims,
]


class Crash(BaseException):
    """Simulates a crash of the instance at this point of a request."""


class Send(NamedTuple):
    """The faults of one attempt to send a request.

    The attempt pauses for ``pause_s`` before authority is checked, and runs
    unless it is ``not_sent``, ``refused`` or ``lost_before``. Its response is
    lost if ``lost_after`` or ``late``; if ``late``, it also runs only later.
    """

    pause_s: float = 0.0
    not_sent: bool = False
    refused: bool = False
    lost_before: bool = False
    lost_after: bool = False
    late: bool = False
    crash_before: bool = False
    crash_after: bool = False


class Step(NamedTuple):
    """One request to an instance, with the faults to inject."""

    instance: int
    key: int
    body: int = 0
    scripts: tuple[scripted_store.Script, ...] = ()
    send: Send = Send()  # noqa: B008
    resume: bool = False
    nested: tuple['Step', ...] = ()


def direct(
    store: stores.ConfigStore,
    clock: timers.TimerService,
    metric: metrics.Metrics,
    instance_id: str,
) -> claims.Claims:
    """Creates claims that write to the store directly."""
    return direct_claims.DirectClaims(
        store, clock, metric, instance_id, claims.ClaimSettings()
    )


class ClaimNetwork(claim_writes.ClaimForwarder):
    """Delivers claim writes to owners in one process.

    ``owner_number`` is the owner that instances call; it may change at any
    time. A call to an owner that is writing is lost, because all instances
    run in one task.
    """

    def __init__(self) -> None:
        self.owners: list[claim_owner.ClaimOwner] = []
        self.owner_number = 0
        self.lose_calls = 0
        self.lose_answers = 0

    def forward(
        self, range_number: int, bids: tuple[claim_writes.ClaimWrite, ...]
    ) -> result.Result[tuple[claim_writes.Reply, ...], transport.PeerError]:
        owner = self.owners[self.owner_number % len(self.owners)]
        if self.lose_calls:
            self.lose_calls -= 1
            return result.Failure(transport.PeerNotSent('owner'))
        if owner.is_writing(range_number):
            return result.Failure(transport.PeerUnreachable('owner'))
        replies = owner.submit(range_number, bids)
        if self.lose_answers:
            self.lose_answers -= 1
            return result.Failure(transport.PeerUnreachable('owner'))
        return result.Success(replies)


class BatchedFactory:
    """Creates batched claims; each instance also has an owner."""

    def __init__(self) -> None:
        self.network = ClaimNetwork()

    def __call__(
        self,
        store: stores.ConfigStore,
        clock: timers.TimerService,
        metric: metrics.Metrics,
        instance_id: str,
    ) -> claims.Claims:
        settings = claims.ClaimSettings()
        self.network.owners.append(
            claim_owner.ClaimOwner(store, clock, metric, settings)
        )
        return batched_claims.BatchedClaims(
            self.network, clock, metric, instance_id, settings, ranges=1
        )


class _OneTarget(plain_calls.PlainTargets):
    def candidates(self, plain_service: str) -> tuple[str, ...]:
        return ('registry-1',)

    def record_failure(
        self, address: str, failure: plain_services.PlainError
    ) -> None:
        pass


class _Instance(plain_services.PlainServiceClient):
    """One instance; also acts as its client of the plain service."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        self.fleet = fleet
        self.send = Send()
        self.meanwhile: Callable[[], None] = lambda: None
        fleet.every_instance.append(self)
        clock = fleet.clock
        self.store = scripted_store.ScriptedStore(fleet.store, clock)
        self.claims = fleet.factory(self.store, clock, fleet.metric, name)
        self.calls = plain_calls.PlainCalls(
            self,
            _OneTarget(),
            self.claims,
            retries.RetryBudget(clock),
            retries.Backoff(clock, random.Random(0)),
            clock,
            fleet.metric,
        )

    def call(
        self,
        address: str,
        call: plain_services.PlainCall,
        timeout_s: float,
        once: bool,
        may_send: Callable[[], bool] = plain_services.always,
    ) -> result.Result[
        plain_services.PlainResponse, plain_services.PlainError
    ]:
        send, self.send = self.send, Send()
        if send.pause_s:
            self.fleet.clock.advance(send.pause_s)
        self.meanwhile()
        if send.crash_before:
            self._crash()
        if send.not_sent or not may_send():
            return result.Failure(plain_services.NotSent(address))
        if send.refused:
            return result.Failure(plain_services.ServiceRefused(address))
        if send.late:
            self.fleet.late_runs.append(call)
        elif not send.lost_before:
            self.fleet.run(call)
        if send.crash_after:
            self._crash()
        if send.late or send.lost_before:
            self.fleet.note_unknown(call)
        if send.late or send.lost_before or send.lost_after:
            return result.Failure(plain_services.PlainOutcomeUnknown(address))
        return result.Success(_answer(call))

    def _crash(self) -> NoReturn:
        """Raises ``Crash``; store calls during unwinding have no effect."""
        self.store.scripts = [scripted_store.Script(dropped=True)] * 20
        raise Crash


class Fleet:
    """Instances with one store; counts violations.

    ``double_runs`` counts repeated runs of a key, ``false_not_run`` "not run"
    responses to a request that ran, and ``foreign_answers`` responses that
    belong to another request. ``blocked`` counts keys that never ran, whose
    request can't have been sent, and that still don't run after all faults
    have ended.
    """

    def __init__(
        self, instances: int, factory: ClaimsFactory = direct
    ) -> None:
        self.clock = timers.ManualTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.metric = metrics.MemoryMetrics()
        self.factory = factory
        self.requests = 0
        self.double_runs = 0
        self.foreign_answers = 0
        self.blocked = 0
        self.late_runs: list[plain_services.PlainCall] = []
        self.outcome_counts: collections.Counter[str] = collections.Counter()
        self._runs: list[plain_services.PlainCall] = []
        self._not_run_ids: set[str] = set()
        self._false_earlier_known = 0
        self._resume_ids_by_key: dict[int, dict[str, None]] = (
            collections.defaultdict(dict)
        )
        self._sent_keys: set[int] = set()
        self._active: list[int] = []
        self._crashes = 0
        self._resume_needed = False
        self._delivered_at = self.clock.now()
        self.every_instance: list[_Instance] = []
        self._instances = [
            _Instance(self, f'i-{number}') for number in range(instances)
        ]

    @property
    def false_not_run(self) -> int:
        """Number of false "not run" responses, given all runs so far."""
        ran_ids = {call.request_id for call in self._runs}
        return len(self._not_run_ids & ran_ids) + self._false_earlier_known

    def request(self, step: Step) -> plain_results.PlainResult | None:
        """Runs one request; returns ``None`` if its instance crashed."""
        self.requests += 1
        call = plain_services.PlainCall(
            'POST',
            '/registrations',
            b'%d-%d' % (step.key, step.body),
            'text/plain',
            f'r-{self.requests}',
            f'k-{step.key}',
        )
        instance = self._instances[step.instance]
        self._inject_faults(instance, step)
        self._active.append(step.instance)
        try:
            ran = self._run_on(instance, step, call)
        except Crash:
            self._sent_keys.add(step.key)
            self.crash(step.instance)
            return None
        finally:
            self._active.pop()
        self._check_result(step, call, ran)
        return ran

    def _run_on(
        self,
        instance: _Instance,
        step: Step,
        call: plain_services.PlainCall,
    ) -> plain_results.PlainResult:
        resume_ids = tuple(self._resume_ids_by_key[step.key])
        request = plain_results.PlainRequest(
            SERVICE,
            ORGANISATION,
            'registry',
            False,
            call,
            DEADLINE_S,
            resume_ids=resume_ids if step.resume else (),
        )
        trace = explain.Trace(self.clock, call.request_id)
        return instance.calls.run(request, trace)

    def _inject_faults(self, instance: _Instance, step: Step) -> None:
        nested = list(step.nested)

        def meanwhile() -> None:
            if nested and len(self._active) <= MAX_NESTING:
                self.request(nested.pop(0))

        send = step.send
        if step.instance in self._active:
            # The enclosing request would continue in a crashed instance.
            send = send._replace(crash_before=False, crash_after=False)
        instance.store.scripts = list(step.scripts)
        instance.store.meanwhile = meanwhile
        instance.meanwhile = meanwhile
        instance.send = send

    def _check_result(
        self,
        step: Step,
        call: plain_services.PlainCall,
        ran: plain_results.PlainResult,
    ) -> None:
        if isinstance(ran, result.Success):
            self.outcome_counts['complete'] += 1
            answer = ran.unwrap().answer
            is_own = answer == _answer(call)
            if not is_own or answer not in map(_answer, self._runs):
                self.foreign_answers += 1
            return
        failure = ran.failure()
        self.outcome_counts[failure.reason] += 1
        if not isinstance(failure, plain_results.PlainNotRun):
            return
        self._not_run_ids.add(call.request_id)
        for resume_id in failure.resume_ids:
            self._resume_ids_by_key[step.key][resume_id] = None
        if failure.earlier_known and self._has_run(step.key):
            self._false_earlier_known += 1

    def _retry_request(self, step: Step) -> plain_results.PlainResult | None:
        """Retries a request as the response tells its caller."""
        for _ in range(MAX_REPEATS):
            ran = self.request(step)
            if not isinstance(ran, result.Failure):
                break
            if not ran.failure().retry_after_s:
                break
            self.clock.advance(ran.failure().retry_after_s)
        return ran

    def _ran_or_reused(self, ran: plain_results.PlainResult | None) -> bool:
        if not isinstance(ran, result.Failure):
            return ran is not None
        return ran.failure().reason == claims.KeyReused.reason

    def _has_run(self, key: int) -> bool:
        calls = self._runs + self.late_runs
        return any(call.idempotency_key == f'k-{key}' for call in calls)

    def run(self, call: plain_services.PlainCall) -> None:
        """Runs a request at the plain service."""
        if any(r.idempotency_key == call.idempotency_key for r in self._runs):
            self.double_runs += 1
        self._runs.append(call)

    def note_unknown(self, call: plain_services.PlainCall) -> None:
        """Records a key whose outcome may remain unknown."""
        self._sent_keys.add(int(call.idempotency_key.removeprefix('k-')))

    def crash(self, number: int) -> None:
        """Replaces an instance by a new one without any state."""
        if number not in self._active[:-1]:
            self._crashes += 1
            self._resume_needed = True
            name = f'i-{number}-{self._crashes}'
            self._instances[number] = _Instance(self, name)

    def deliver_late(self) -> None:
        """Applies delayed writes and requests."""
        now = self.clock.now()
        if now - self._delivered_at > direct_claims.LATE_WRITE_S:
            self._resume_needed = True
        self._delivered_at = now
        for instance in self.every_instance:
            instance.store.deliver_late()
        calls, self.late_runs = self.late_runs, []
        for call in calls:
            self.run(call)

    def retry_pending(self) -> None:
        """Lets each instance retry its pending writes."""
        for instance in self.every_instance:
            instance.store.scripts = []
            instance.store.meanwhile = lambda: None
        for instance in self._instances:
            instance.claims.retry_pending()

    def heal(self, keys: int) -> None:
        """Ends all faults; each key that was never sent has to run now.

        The caller's retry passes its resume ids if an instance crashed or a
        write was delayed for long; otherwise the instances settle the claim.
        """
        self.deliver_late()
        self.retry_pending()
        self.clock.advance(HEAL_S)
        for key in range(keys):
            may_run = not self._has_run(key) and key not in self._sent_keys
            step = Step(0, key, resume=self._resume_needed)
            ran = self._retry_request(step)
            if may_run and not self._ran_or_reused(ran):
                self.blocked += 1


def _answer(call: plain_services.PlainCall) -> plain_services.PlainResponse:
    return plain_services.PlainResponse(201, call.content_type, call.body)
