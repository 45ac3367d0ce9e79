"""Handles one request: admission, relaying and the final response."""

from collections.abc import Callable
import random

from cactusmux_base import events
from cactusmux_base import metrics
from cactusmux_base import timers
import gevent

from . import context
from . import desired_state
from . import dialect
from . import http_server
from . import outcomes
from . import plain_relay
from . import retry_budget
from . import route_table
from . import stream_run
from . import urgency_ranks

STATUS_BY_REFUSAL = {
    outcomes.Refusal.MALFORMED: 400,
    outcomes.Refusal.UNKNOWN_KEY: 401,
    outcomes.Refusal.NO_ROUTE: 404,
}
STATUS_NOT_RUN = 503
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
NO_CONFIGURATION_RETRY_S = 0.5
# How long an instance that has just started waits for the desired state before
# it refuses requests.
STATE_WAIT_S = 0.3
STATE_POLL_S = 0.01
# Other instances accept the request at once.
STOPPING_RETRY_S = 0.05


class ConfigurationInForce:
    """Holds the desired state in force and what is derived from it."""

    def __init__(self) -> None:
        self.state: desired_state.DesiredState | None = None
        self._table = route_table.RouteTable(())
        self._urgencies_by_service: dict[str, urgency_ranks.Urgencies] = {}

    def replace(self, state: desired_state.DesiredState) -> None:
        """Puts a state in force if its version is newer than the present."""
        if self.state is not None and state.version <= self.state.version:
            return
        table = route_table.RouteTable(state.routes)
        urgencies = urgency_ranks.urgencies_by_service(state.routes)
        self.state = state
        self._table = table
        self._urgencies_by_service = urgencies
        events.info(
            'configuration_in_force',
            version=state.version,
            routes=len(state.routes),
        )

    @property
    def limits(self) -> desired_state.Limits:
        """HTTP limits in force; the defaults while there is no state."""
        return self.state.limits if self.state else desired_state.Limits()

    def find_route(self, host: str, path: str) -> desired_state.Route | None:
        """Returns the route that matches a request, ``None`` if none does."""
        return self._table.find(host, path)

    def urgencies_of(self, service: str) -> urgency_ranks.Urgencies:
        """Returns the urgencies of a service's routes, empty if all equal."""
        return self._urgencies_by_service.get(service, ())


class RequestHandler:
    """Admits requests and serves each until its deadline."""

    def __init__(
        self,
        in_force: ConfigurationInForce,
        header_dialect: dialect.Dialect,
        plain: plain_relay.PlainRelay,
        streams: stream_run.StreamParts,
        budget: retry_budget.RetryBudget,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        takes_work: Callable[[float], bool],
    ) -> None:
        """Creates a handler.

        :param takes_work: whether a new request that may last for the given
            number of seconds is still accepted.
        """
        self._takes_work = takes_work
        self._in_force = in_force
        self._header_dialect = header_dialect
        self._plain = plain
        self._streams = streams
        self._budget = budget
        self._timer = timer
        self._metric = metric
        self._rng = rng

    def handle(
        self, request: http_server.Request, answerer: http_server.Answerer
    ) -> None:
        """Serves one request; an :data:`http_messages.Handler`."""
        facts: dialect.RequestFacts | None = None
        try:
            facts = self._header_dialect.request_facts(request)
            exchange = self._admit(request, facts, answerer)
        except dialect.MalformedRequest as malformed:
            events.info(
                'request_malformed',
                id=self._logged_id(request),
                name=malformed.name,
            )
            self._refuse(
                request,
                answerer,
                facts,
                context.RequestRefused(outcomes.Refusal.MALFORMED, False),
            )
            return
        except context.RequestRefused as refused:
            self._refuse(request, answerer, facts, refused)
            return
        self._metric.count(f'relay.requests.{exchange.route.kind}')
        self._serve(exchange)

    def _admit(
        self,
        request: http_server.Request,
        facts: dialect.RequestFacts,
        answerer: http_server.Answerer,
    ) -> context.Exchange:
        state = self._await_state()
        if state is None:
            raise context.RequestRefused(
                outcomes.Refusal.NO_CONFIGURATION,
                False,
                NO_CONFIGURATION_RETRY_S,
            )
        route = self._in_force.find_route(facts.host, request.path)
        if route is None:
            raise context.RequestRefused(outcomes.Refusal.NO_ROUTE, False)
        organisation = None
        if facts.key is not None:
            organisation = state.organisation_by_key.get(facts.key)
        needs_key = state.needs_keys and not route.is_open
        if needs_key and organisation is None:
            raise context.RequestRefused(outcomes.Refusal.UNKNOWN_KEY, False)
        wait_s = route.timeout_s
        if facts.wait_s is not None:
            wait_s = min(wait_s, facts.wait_s)
        if not self._takes_work(wait_s):
            raise context.RequestRefused(
                outcomes.Refusal.STOPPING, False, STOPPING_RETRY_S
            )
        service = self._pick_service(state, route)
        self._budget.record_request(service.name)
        return context.Exchange(
            request=request,
            facts=facts,
            answerer=answerer,
            route=route,
            service=service,
            organisation=organisation,
            ends_at=request.received_at + wait_s,
            urgencies=self._in_force.urgencies_of(service.name),
        )

    def _await_state(self) -> desired_state.DesiredState | None:
        """Returns the state in force; just after a start, waits for it."""
        until = self._timer.now() + STATE_WAIT_S
        while self._in_force.state is None and self._timer.now() < until:
            self._timer.sleep(STATE_POLL_S)
        return self._in_force.state

    def _pick_service(
        self, state: desired_state.DesiredState, route: desired_state.Route
    ) -> desired_state.Service:
        known = [
            each
            for each in route.services
            if each.service in state.service_by_name and each.weight > 0
        ]
        if not known:
            raise context.RequestRefused(
                outcomes.Refusal.NO_TARGET, False, NO_CONFIGURATION_RETRY_S
            )
        if len(known) == 1:
            return state.service_by_name[known[0].service]
        weights = [each.weight for each in known]
        picked = self._rng.choices(known, weights)[0]
        return state.service_by_name[picked.service]

    def _serve(self, exchange: context.Exchange) -> None:
        progress = _Progress(exchange.answerer)
        watched = exchange._replace(answerer=progress)
        left_s = exchange.ends_at - self._timer.now()
        try:
            with gevent.Timeout(max(left_s, 0.0)) as timeout:
                self._relay(watched)
        except gevent.Timeout as raised:
            if raised is not timeout:
                raise
            self._time_out(exchange, progress)
        except context.PassFailureOn as failure:
            events.info(
                'failure_passed_on',
                id=exchange.facts.request_id,
                status=failure.response.head.status,
            )
            self._respond(exchange, failure.response)
        except context.StreamAborted as aborted:
            self._log_refusal(exchange.request, aborted.refusal, True, 0)
            exchange.answerer.abort()
        except context.RequestRefused as refused:
            self._refuse_admitted(exchange, refused)
        except http_server.CallerDisconnected:
            self._metric.count('relay.caller_gone')
            events.info(
                'caller_gone',
                id=exchange.facts.request_id,
                after_s=self._age_s(exchange),
            )
            raise

    def _relay(self, exchange: context.Exchange) -> None:
        if exchange.service.engine is not None:
            stream_run.StreamRun(self._streams, exchange).serve()
            return
        response = self._plain.serve(exchange)
        age_s = self._timer.now() - exchange.request.received_at
        self._metric.timing(f'relay.plain.{exchange.route.kind}', age_s)
        events.info(
            'plain_served',
            id=exchange.facts.request_id,
            route=exchange.route.name,
            status=response.head.status,
            after_s=round(age_s, 3),
        )
        self._respond(exchange, response)

    def _time_out(
        self, exchange: context.Exchange, progress: '_Progress'
    ) -> None:
        if progress.has_begun:
            self._log_refusal(
                exchange.request, outcomes.Refusal.TIMED_OUT, True, 0
            )
            exchange.answerer.abort()
            return
        refused = context.RequestRefused(outcomes.Refusal.TIMED_OUT, True)
        self._refuse_admitted(exchange, refused, STATUS_GATEWAY_TIMEOUT)

    def _respond(
        self, exchange: context.Exchange, response: outcomes.CompleteResponse
    ) -> None:
        headers = self._header_dialect.caller_headers(response.head)
        kept = [each for each in headers if each[0] != b'content-length']
        status = response.head.status
        if status in (408, 421, 429, 503):
            # Clients take these statuses as a promise that the request has
            # not run, but here a target may have run it.
            refused = context.RequestRefused(
                outcomes.Refusal.TARGET_FAILED, True
            )
            self._refuse_admitted(exchange, refused)
            return
        exchange.answerer.answer(status, kept, response.body)

    def _refuse_admitted(
        self,
        exchange: context.Exchange,
        refused: context.RequestRefused,
        status: int | None = None,
    ) -> None:
        self._refuse(
            exchange.request,
            exchange.answerer,
            exchange.facts,
            refused,
            status,
        )

    def _refuse(
        self,
        request: http_server.Request,
        answerer: http_server.Answerer,
        facts: dialect.RequestFacts | None,
        refused: context.RequestRefused,
        status: int | None = None,
    ) -> None:
        if status is None:
            default_status = (
                STATUS_BAD_GATEWAY if refused.has_run else STATUS_NOT_RUN
            )
            status = STATUS_BY_REFUSAL.get(refused.refusal, default_status)
        self._log_refusal(request, refused.refusal, refused.has_run, status)
        headers = self._header_dialect.refusal_headers(
            facts, refused.retry_after_s
        )
        answerer.answer(status, headers, b'')

    def _log_refusal(
        self,
        request: http_server.Request,
        refusal: outcomes.Refusal,
        has_run: bool,
        status: int,
    ) -> None:
        self._metric.count(f'relay.refused.{refusal}')
        events.info(
            'request_refused',
            id=self._logged_id(request),
            reason=refusal,
            has_run=has_run,
            status=status,
            version=self._in_force.state.version
            if self._in_force.state
            else 0,
        )

    def _logged_id(self, request: http_server.Request) -> str:
        return self._header_dialect.request_id(request.headers) or 'unknown'

    def _age_s(self, exchange: context.Exchange) -> float:
        age_s = self._timer.now() - exchange.request.received_at
        return round(age_s, 3)


class _Progress(http_server.Answerer):
    """Records whether a response has begun."""

    def __init__(self, answerer: http_server.Answerer) -> None:
        self._answerer = answerer
        self.has_begun = False

    def answer(
        self, status: int, headers: http_server.Headers, body: bytes
    ) -> None:
        self.has_begun = True
        self._answerer.answer(status, headers, body)

    def start(self, status: int, headers: http_server.Headers) -> None:
        self.has_begun = True
        self._answerer.start(status, headers)

    def send(self, data: bytes) -> None:
        self._answerer.send(data)

    def finish(self) -> None:
        self._answerer.finish()

    def hold(self, size: int, may_wait: bool) -> None:
        self._answerer.hold(size, may_wait)

    def abort(self) -> None:
        self._answerer.abort()
