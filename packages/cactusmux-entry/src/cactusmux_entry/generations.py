"""Runs a text generation request, with retries and resumption."""

from collections.abc import Iterator
from http import HTTPStatus
from typing import NamedTuple, NoReturn

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import targets
from cactusmux_routing import breakers
from cactusmux_routing import choosers
from cactusmux_routing import retries
from cactusmux_routing import routes
from returns import result

from . import explain
from . import leaving_watch
from . import plain_targets
from . import problems
from . import stall_watch
from . import suspects
from . import token_checker

MAX_ATTEMPTS = 8
RETRY_AFTER_S = 1.0


class GenerationRequest(NamedTuple):
    """A validated request; ``deadline_at`` is on the timer service's clock.

    ``layers`` is the number of the model's layers. ``prefix_hash`` is a hash
    of the start of the prompt, used to choose targets that may have it
    cached.
    """

    request_id: str
    service: str
    organisation: str
    kind: str
    model: str
    version: str
    adapter: str
    layers: int
    prompt: str
    max_tokens: int
    priority: int
    deadline_at: float
    prefix_hash: int = 0


class GenerationServices(NamedTuple):
    """Dependencies of generations, shared within a process.

    ``token_gap_s`` is the timeout between tokens, ``first_token_s`` the
    timeout for the first token, both in seconds.
    """

    timer: timers.TimerService
    metrics: metrics.Metrics
    targets: targets.TargetClient
    chooser: choosers.RouteChooser
    budget: retries.RetryBudget
    backoff: retries.Backoff
    stalls: stall_watch.StallWatch
    leaving: leaving_watch.LeavingWatch
    breakers: breakers.Breakers
    zone: str
    token_gap_s: float
    first_token_s: float


class Generation:
    """A request with its attempts and the tokens delivered so far.

    Each attempt resumes after the last delivered token. Tokens of abandoned
    attempts are dropped.
    """

    def __init__(
        self,
        services: GenerationServices,
        request: GenerationRequest,
        trace: explain.Trace,
    ) -> None:
        self._services = services
        self._request = request
        self._trace = trace
        self._checker = token_checker.TokenChecker(
            request.request_id, request.max_tokens, services.metrics
        )
        self._deadline = retries.Deadline(request.deadline_at)
        self._avoided: frozenset[str] = frozenset()
        self._attempt = 0
        self._may_have_run = False

    def texts(self) -> Iterator[str]:
        """Yields the text of each token once, in order.

        :raises problems.RequestFailed: when no attempt succeeds.
        """
        request = self._request
        self._services.budget.record_first_attempt(
            request.service, request.organisation
        )
        while not self._checker.finished:
            route = self._choose_route()
            try:
                yield from self._run_attempt(route)
            except targets.TargetError as error:
                self._wait_before_retry(error)

    def _run_attempt(self, route: routes.Route) -> Iterator[str]:
        """Runs one attempt; raises ``TargetError`` when it fails."""
        services = self._services
        self._attempt += 1
        self._checker.start_attempt(self._attempt)
        services.metrics.count('entry.attempts')
        self._trace.add(
            'attempt',
            attempt=self._attempt,
            stages=[list(stage) for stage in route.stages],
            delivered=len(self._checker.texts),
        )
        services.chooser.record_started(route)
        for stage in route.stages:
            services.breakers.record_started(stage.address)
        try:
            stream = self._open(route)
            yield from self._read(stream, route)
        except targets.TargetError as error:
            # Recorded before the end, so that a failed probe counts as failed.
            self._record_failure(route, error)
            raise
        finally:
            services.chooser.record_finished(route)
            self._record_end(route)

    def _record_end(self, route: routes.Route) -> None:
        """Reports the outcome of an attempt to the breakers."""
        note = self._services.breakers.record_abandoned
        if self._checker.finished:
            note = self._services.breakers.record_success
        for stage in route.stages:
            note(stage.address)

    def _open(self, route: routes.Route) -> targets.TokenStream:
        request = self._request
        routed = targets.RoutedRequest(
            request.request_id,
            self._attempt,
            route.model,
            route.version,
            route.adapter,
            request.prompt,
            request.max_tokens,
            route.stages,
            tuple(self._checker.texts),
            request.priority,
            self._deadline.left_s(self._services.timer.now()),
        )
        opened = self._services.targets.open_stream(
            routed, self._services.token_gap_s
        )
        if isinstance(opened, result.Failure):
            raise opened.failure()
        self._may_have_run = True
        return opened.unwrap()

    def _read(
        self, stream: targets.TokenStream, route: routes.Route
    ) -> Iterator[str]:
        services = self._services
        now = services.timer.now
        first_address = route.stages[0].address
        watched = services.stalls.open(stream, services.first_token_s)
        try:
            for token in stream:
                if self._checker.accept(token, first_address):
                    watched.pause()
                    yield token.text
                watched.expect(now(), services.token_gap_s)
        except targets.TargetError as error:
            if watched.stalled:
                raise targets.StreamStalled(first_address) from error
            raise
        finally:
            services.stalls.close(watched)
        if not self._checker.finished:
            raise targets.StreamBroken(first_address, 'ended_early')

    def _choose_route(self) -> routes.Route:
        """Chooses a route, or waits for one, or fails the request.

        A request with delivered tokens waits for a route until its
        deadline. Without delivered tokens it fails immediately.
        """
        retry = 0
        while True:
            chosen = self._choose_avoiding_failures()
            if isinstance(chosen, result.Success):
                return self._check_route(chosen.unwrap())
            error = chosen.failure()
            self._trace.add('no_route', reason=error.reason, detail=str(error))
            if not self._checker.texts:
                self._fail(error.reason, str(error))
            self._sleep_before_retry(retry)
            retry += 1

    def _choose_avoiding_failures(
        self,
    ) -> result.Result[routes.Route, choosers.NoRoute]:
        """Chooses a route, relaxing the set of avoided targets if needed.

        Targets ejected by breakers are allowed again before targets that
        failed this request, since the ejection may be out of date.
        """
        request = self._request
        ejected = self._services.breakers.ejected()
        route_request = choosers.RouteRequest(
            request.model,
            request.version,
            request.adapter,
            request.layers,
            self._avoided | ejected,
            self._services.zone,
            request.prefix_hash,
        )
        chosen = self._services.chooser.choose(route_request)
        for avoid in (self._avoided, choosers.NO_ADDRESSES):
            if isinstance(chosen, result.Success):
                break
            chosen = self._services.chooser.choose(
                route_request._replace(avoid=avoid)
            )
        return chosen

    def _check_route(self, route: routes.Route) -> routes.Route:
        checked = routes.check_route(route, self._request.layers)
        if isinstance(checked, result.Failure):
            error = checked.failure()
            self._fail(error.reason, str(error))
        return route

    def _record_failure(
        self, route: routes.Route, error: targets.TargetError
    ) -> None:
        services = self._services
        if not isinstance(error, (targets.NotSent, targets.TargetRefused)):
            self._may_have_run = True
        if error.detail == plain_targets.LEAVING_REASON:
            services.leaving.record_sign(
                error.address, leaving_watch.Source.REFUSAL
            )
        failed = frozenset((error.address,))
        is_certain = isinstance(error, targets.NotSent)
        if isinstance(error, targets.StreamStalled):
            failed, is_certain = suspects.find_unresponsive(
                services.targets, route
            )
        self._avoided |= failed
        for address in failed:
            services.breakers.record_failure(address, is_certain)
        services.metrics.count(f'entry.retries.{error.reason}')
        self._trace.add(
            'attempt_failed',
            attempt=self._attempt,
            reason=error.reason,
            detail=error.detail,
            avoided=sorted(failed),
        )
        events.warning(
            'attempt_failed',
            request_id=self._request.request_id,
            attempt=self._attempt,
            reason=error.reason,
            detail=error.detail,
            targets=','.join(sorted(failed)),
        )

    def _wait_before_retry(self, error: targets.TargetError) -> None:
        """Waits until the next attempt may start, or fails the request.

        A stream with delivered tokens doesn't use the retry budget: it
        occupies one admission slot regardless of its attempts, and its
        caller has received part of the response. Its first resumption
        starts without delay, and only its deadline limits its attempts.
        """
        if self._checker.texts:
            if self._attempt > 1:
                self._sleep_before_retry(self._attempt - 2)
            return
        if self._attempt >= MAX_ATTEMPTS:
            self._fail('attempts_exhausted', str(error))
        request = self._request
        taken = self._services.budget.spend(
            request.service, request.organisation
        )
        if isinstance(taken, result.Failure):
            exhausted = taken.failure()
            self._fail(
                exhausted.reason, str(exhausted), exhausted.retry_after_s
            )
        self._sleep_before_retry(self._attempt - 1)

    def _sleep_before_retry(self, retry: int) -> None:
        delay = self._services.backoff.delay_s(retry, self._deadline)
        if isinstance(delay, result.Failure):
            self._fail('deadline_passed', str(delay.failure()))
        self._services.timer.sleep(delay.unwrap())

    def _fail(
        self, reason: str, detail: str, retry_after_s: float = RETRY_AFTER_S
    ) -> NoReturn:
        outcome = problems.Outcome.NOT_RUN
        if self._may_have_run:
            outcome = problems.Outcome.UNKNOWN
        raise problems.RequestFailed(
            problems.Problem(
                HTTPStatus.SERVICE_UNAVAILABLE,
                reason,
                detail,
                outcome,
                retry_after_s,
            )
        )
