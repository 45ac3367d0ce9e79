"""Test rig: one instance's request handler with scripted targets."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import desired_state
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import ejection_reports
from cactusmux_relay import failing_targets
from cactusmux_relay import http_server
from cactusmux_relay import layer_orders
from cactusmux_relay import live_streams
from cactusmux_relay import load_tracker
from cactusmux_relay import path_finder
from cactusmux_relay import plain_relay
from cactusmux_relay import quarantine
from cactusmux_relay import refusal_gossip
from cactusmux_relay import refused_callers
from cactusmux_relay import request_ends
from cactusmux_relay import request_handling
from cactusmux_relay import retry_budget
from cactusmux_relay import sending
from cactusmux_relay import service_load
from cactusmux_relay import slow_targets
from cactusmux_relay import stage_replacer
from cactusmux_relay import stream_gate
from cactusmux_relay import stream_run
from cactusmux_relay import target_calls
from cactusmux_relay import target_crashes
from cactusmux_relay import target_limits
from cactusmux_relay import target_registry
from cactusmux_relay import targets
from cactusmux_routing import breakers
from gevent import socket

from . import plain_dialect
from . import sample_engine
from . import silent_orders
from . import single_limiter

PLAIN_SERVICE = 'portal'
HOST = 'example'
RECEIVE_BYTES = 65536


def route(
    prefix: str,
    kind: desired_state.RequestKind,
    service: str,
    can_resume: bool = False,
    timeout_s: float = 5.0,
) -> desired_state.Route:
    """Returns a route of the rig's host with two attempts."""
    return desired_state.Route(
        name=prefix,
        host=HOST,
        prefix=prefix,
        kind=kind,
        services=(desired_state.WeightedService(service, 1.0),),
        timeout_s=timeout_s,
        objective_s=0.5,
        gap_s=0.25,
        urgency=1,
        max_attempts=2,
        is_open=False,
        can_resume=can_resume,
    )


ROUTES = (
    route('/safe/', desired_state.RequestKind.SAFE, PLAIN_SERVICE),
    route('/unsafe/', desired_state.RequestKind.UNSAFE, PLAIN_SERVICE),
    route(
        '/brief/', desired_state.RequestKind.UNSAFE, PLAIN_SERVICE, False, 0.2
    ),
    route(
        '/stream/',
        desired_state.RequestKind.STREAM,
        sample_engine.SERVICE,
        True,
    ),
    route('/once/', desired_state.RequestKind.STREAM, sample_engine.SERVICE),
)


def make_desired_state(version: int = 1) -> desired_state.DesiredState:
    """Returns the rig's routes, two services and one key, ``secret``."""
    return desired_state.DesiredState(
        version=version,
        routes=ROUTES,
        service_by_name={
            PLAIN_SERVICE: desired_state.Service(
                PLAIN_SERVICE, '/health', 10, None
            ),
            sample_engine.SERVICE: desired_state.Service(
                sample_engine.SERVICE, '/health', 10, sample_engine.ENGINE
            ),
        },
        organisation_by_key={
            'secret': desired_state.Organisation('almaty', None)
        },
        needs_keys=True,
        limits=desired_state.Limits(),
    )


class RelayRig:
    """A request handler behind a socket; targets are set by address."""

    def __init__(
        self,
        orders: layer_orders.LayerOrders | None = None,
        limits: target_limits.TargetLimits | None = None,
    ) -> None:
        limits = limits or target_limits.UnlimitedTargets()
        self.limits = limits
        timer = timers.GeventTimers()
        orders = orders or silent_orders.SilentOrders()
        self.timer = timer
        rng = random.Random(1)
        self.metric = metrics.MemoryMetrics()
        self.in_force = request_handling.ConfigurationInForce()
        self.in_force.replace(make_desired_state())
        self.book = target_registry.TargetRegistry()
        target_backoffs = backoffs.Backoffs(self.book, timer, self.metric)
        self.down = down_targets.DownTargets(timer, rng)
        self.most_work_s = float('inf')
        relay_dialect = plain_dialect.PlainDialect()
        budget = retry_budget.RetryBudget(timer, 1.0, 100.0, 10.0)
        budget.set_instances(1)
        self.budget = budget
        self.quarantine = quarantine.Quarantine(timer, self.metric)
        self.refused = refused_callers.RefusedCallers(timer, rng)
        ledger = load_tracker.LoadTracker(timer)
        self.ledger = ledger
        self.pressures = service_load.ServiceLoadTracker(
            timer, lambda: ledger.instances
        )
        connections = target_calls.TargetConnections(timer)
        self.rates = single_limiter.build_limiter(
            self.book, timer, self.metric
        )
        sender = sending.Sender(
            connections,
            relay_dialect,
            timer,
            target_backoffs,
            self.book,
            self.rates,
        )
        self.health = breakers.Breakers(
            timer, rng, self.metric, lambda lost: True
        )
        self.ejections = ejection_reports.EjectionReports(
            'own', self.book, timer, self.metric, rng
        )
        self.failing = failing_targets.FailingTargets(
            self.book, ledger, self.ejections, timer, self.metric, rng
        )
        live = live_streams.LiveStreams(
            timer, self.down, self.down.probe, lambda target: None
        )
        live.start()
        paces = slow_targets.SlowTargets(orders, timer)
        finder = path_finder.PathFinder(
            self.book,
            ledger,
            self.down,
            paces,
            timer,
            self.metric,
            target_backoffs,
            rng,
            soft_exclusions=(self.failing.ids,),
            at_limit=limits.ids_at_limit,
            rates=self.rates,
        )
        replacer = stage_replacer.StageReplacer(
            stage_replacer.ReplacerDependencies(
                finder=finder,
                book=self.book,
                ledger=ledger,
                paces=paces,
                orders=orders,
                down=self.down,
                live=live,
                timer=timer,
                metric=self.metric,
                rng=rng,
            )
        )
        crashes = target_crashes.TargetCrashes(
            self.quarantine, self.down, self.book, timer
        )
        handler = request_handling.RequestHandler(
            self.in_force,
            relay_dialect,
            plain_relay.PlainRelay(
                self.book,
                ledger,
                sender,
                budget,
                self.health,
                timer,
                self.metric,
                rng,
                'a',
                target_backoffs,
                limits,
                self.rates,
                crashes=crashes,
            ),
            stream_run.StreamParts(
                refused=self.refused,
                finder=finder,
                ledger=ledger,
                sender=sender,
                header_dialect=relay_dialect,
                budget=budget,
                down=self.down,
                live=live,
                replacer=replacer,
                timer=timer,
                metric=self.metric,
                failing=self.failing,
                quarantine=self.quarantine,
                crashes=crashes,
                limits=limits,
                gate=stream_gate.UrgencyGate(
                    self.book,
                    self.down,
                    self.pressures,
                    refusal_gossip.RefusalGossip(timer, self.refused),
                    timer,
                    self.metric,
                    rng,
                ),
            ),
            budget,
            timer,
            self.metric,
            rng,
            lambda longest_s: longest_s < self.most_work_s,
        )
        self.server = http_server.HttpServer(
            '127.0.0.1:0',
            handler.handle,
            timer,
            lambda: self.in_force.limits,
            request_ends.EndLog(relay_dialect.request_id, self.metric),
        )
        self.server.start()

    def use_plain(self, *addresses: str, born_ms: int = 1) -> None:
        """Sets the targets of the plain service by their addresses."""
        self._use(
            [
                targets.Target(
                    id=f'p{index}',
                    service=PLAIN_SERVICE,
                    address=address,
                    zone='a',
                    slots=6,
                    is_leaving=False,
                    born_ms=born_ms,
                )
                for index, address in enumerate(addresses)
            ]
        )

    def use_engines(self, *addresses: str) -> None:
        """Sets engine targets that hold all layers; the first is fastest."""
        found = []
        for index, address in enumerate(addresses):
            found.append(
                sample_engine.target(
                    f'e{index}',
                    'whole' if index == 0 else 'slow_whole',
                    'a',
                    targets.LayerRange(0, sample_engine.ENGINE.layers),
                    address,
                )
            )
        self._use(found)

    def use_stages(self, *found: targets.Target) -> None:
        """Sets the targets of the engine service."""
        self._use(list(found))

    def connect(self) -> socket.socket:
        """Returns a caller's connection to the request handler."""
        return socket.create_connection(
            ('127.0.0.1', self.server.port), timeout=5.0
        )

    def ask(self, raw: bytes) -> bytes:
        """Sends a request on a new connection; returns all bytes received."""
        sock = self.connect()
        sock.sendall(raw)
        received = b''
        while True:
            try:
                data = sock.recv(RECEIVE_BYTES)
            except ConnectionResetError:
                break
            if not data:
                break
            received += data
        sock.close()
        return received

    def _use(self, found: list[targets.Target]) -> None:
        state = self.in_force.state
        assert state is not None
        self.book.replace(found, _with_whole_cards(state).service_by_name)
        self.in_force.state = _with_whole_cards(state)


def _with_whole_cards(
    state: desired_state.DesiredState,
) -> desired_state.DesiredState:
    """Replaces the cards by ones that hold the model in one stage."""
    engine = sample_engine.ENGINE._replace(
        card_by_name={
            'whole': desired_state.Card('whole', 200000.0, 1.0, 1.0),
            'slow_whole': desired_state.Card('slow_whole', 200000.0, 2.0, 2.0),
        }
    )
    drafts = state.service_by_name[sample_engine.SERVICE]
    services = dict(state.service_by_name)
    services[sample_engine.SERVICE] = drafts._replace(engine=engine)
    return state._replace(service_by_name=services)


def request(path: str, method: str = 'POST', **value_by_header: str) -> bytes:
    """Returns the bytes of a request with an id and the rig's key."""
    fields = {
        'Host': HOST,
        'Request-Id': 'r1',
        'Key': 'secret',
        'Connection': 'close',
        'Content-Length': '0',
    }
    for name, value in value_by_header.items():
        fields[name.replace('_', '-').title()] = value
    lines = [f'{method} {path} HTTP/1.1']
    lines.extend(f'{name}: {value}' for name, value in fields.items() if value)
    return '\r\n'.join([*lines, '', '']).encode()


def plain_exchange(
    request_id: str, now: float, objective_s: float, time_limit_s: float
) -> context.Exchange:
    """Returns an admitted plain request that may not be repeated.

    :param now: monotonic time at which it has arrived.
    :param time_limit_s: after this time its caller gets a final response.
    """
    plain_route = route(
        '/unsafe/',
        desired_state.RequestKind.UNSAFE,
        PLAIN_SERVICE,
        timeout_s=time_limit_s,
    )
    headers = [(b'request-id', request_id.encode())]
    facts = dialect.RequestFacts(
        request_id, '', None, None, '', 0.0, 0.0, None, None, headers
    )
    return context.Exchange(
        request=http_server.Request('POST', '/unsafe/', (), b'', now),
        facts=facts,
        answerer=http_server.Answerer,  # type: ignore[arg-type]
        route=plain_route._replace(objective_s=objective_s),
        service=make_desired_state().service_by_name[PLAIN_SERVICE],
        organisation=None,
        ends_at=now + time_limit_s,
    )
