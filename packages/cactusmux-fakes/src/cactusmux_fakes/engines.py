"""Fake model engines that hold ranges of layers.

An engine accepts a routed stream at its HTTP address and passes activations
to the other stages over a :class:`Fabric`, which simulates the links between
accelerators.
"""

import collections
from collections.abc import Iterator
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_base import timers
from cactusmux_platform import targets
from gevent import event

from . import layers
from . import ledger


class EngineConfig(NamedTuple):
    """Fixed properties of a fake engine.

    ``stage_s`` is the time in seconds that one token takes through the held
    layers; ``capacity_tps`` limits tokens per second over all streams.
    ``load_s`` is the time in seconds to load new holdings.
    """

    capacity_tps: float = 2000.0
    stage_s: float = 0.002
    load_s: float = 0.2
    max_streams: int = 256
    checks_fencing: bool = True
    report_lag_s: float = 0.0


class StageError(failures.CactusmuxError):
    """A stage failed to run a token; ``address`` is its target's."""

    reason = 'stage_failed'

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f'stage {address}: {reason}')
        self.address = address
        self.reason = reason


class Refusal(failures.CactusmuxError):
    """The engine refused a call without running it."""

    reason = 'engine_refusal'

    def __init__(self, reason: str) -> None:
        super().__init__(f'refused: {reason}')
        self.reason = reason


class Fabric:
    """The links between engines, with a record of the layers they ran."""

    def __init__(self, timer: timers.TimerService) -> None:
        self.timer = timer
        self.ledger = ledger.Ledger()
        self.engine_by_address: dict[str, Engine] = {}
        self._delay_by_link: dict[tuple[str, str], float] = {}
        self._cut_links: set[tuple[str, str]] = set()

    def cut(self, source: str, destination: str) -> None:
        """Cuts the link from ``source`` to ``destination``."""
        self._cut_links.add((source, destination))

    def mend(self, source: str, destination: str) -> None:
        """Restores a link and removes its delay."""
        self._cut_links.discard((source, destination))
        self._delay_by_link.pop((source, destination), None)

    def slow(self, source: str, destination: str, seconds: float) -> None:
        """Delays activations over a link by ``seconds``."""
        self._delay_by_link[source, destination] = seconds

    def stage(self, source: str, stage: targets.Stage) -> 'Engine':
        """Returns the engine of a stage, reached from ``source``."""
        link = (source, stage.address)
        engine = self.engine_by_address.get(stage.address)
        if engine is None or engine.dead or link in self._cut_links:
            raise StageError(stage.address, 'unreachable')
        delay = self._delay_by_link.get(link, 0.0)
        if delay:
            self.timer.sleep(delay)
        return engine


class Engine:
    """One target: holds layers, runs stages, reports and takes orders."""

    def __init__(
        self, fabric: Fabric, address: str, config: EngineConfig
    ) -> None:
        self.address = address
        self.config = config
        self.dead = False
        self.leaving = False
        self.thawed = event.Event()
        self.thawed.set()
        self.fencing = 0
        self.orders_taken: list[targets.Order] = []
        self.started_streams = 0
        self.running = 0
        self.last_start_at = 0.0
        self._fabric = fabric
        self._timer = fabric.timer
        self._holdings: tuple[targets.Holding, ...] = ()
        self._pending_loads = 0
        self._idle_at = 0.0
        self._past_reports: collections.deque[
            tuple[float, targets.TargetReport]
        ] = collections.deque()
        fabric.engine_by_address[address] = self

    def hold(self, *holdings: targets.Holding) -> None:
        """Sets the holdings at once, as if loaded before the start."""
        self._holdings = tuple(holdings)

    def revive(self) -> None:
        """Restarts a dead engine with its previous holdings."""
        self.dead = False

    def freeze(self) -> None:
        """Stops the engine without closing its connections."""
        self.thawed.clear()

    def thaw(self) -> None:
        """Resumes a frozen engine."""
        self.thawed.set()

    def report(self) -> targets.TargetReport:
        """Returns the report as it was before the configured lag."""
        now = self._timer.now()
        self._past_reports.append((now, self._current_report()))
        horizon = now - self.config.report_lag_s
        while (
            len(self._past_reports) > 1 and self._past_reports[1][0] <= horizon
        ):
            self._past_reports.popleft()
        return self._past_reports[0][1]

    def take_order(self, order: targets.Order) -> targets.TargetReport:
        """Replaces the holdings; refuses an outdated fencing number."""
        if self.config.checks_fencing and order.fencing < self.fencing:
            raise Refusal('fenced')
        self.fencing = order.fencing
        self.orders_taken.append(order)
        self._pending_loads += 1
        kept = [
            holding for holding in self._holdings if holding in order.holdings
        ]
        self._holdings = tuple(kept)
        self._timer.after(self.config.load_s, lambda: self._finish_load(order))
        return self._current_report()

    def check_stage(
        self, request: targets.RoutedRequest, stage: targets.Stage
    ) -> None:
        """Raises unless the stage's layers, version and adapter are held."""
        for holding in self._holdings:
            if holding.model != request.model:
                continue
            if holding.version != request.version:
                continue
            if holding.first > stage.first or holding.last < stage.last:
                continue
            if request.adapter and request.adapter not in holding.adapters:
                raise Refusal('adapter_not_loaded')
            return
        raise Refusal('wrong_layers')

    def start(self, request: targets.RoutedRequest) -> Iterator[targets.Token]:
        """Starts a request and returns its tokens, or raises a refusal."""
        if self.leaving:
            raise Refusal('leaving')
        if self.running >= self.config.max_streams:
            raise Refusal('overloaded')
        if not request.stages or request.stages[0].address != self.address:
            raise Refusal('wrong_target')
        self.check_stage(request, request.stages[0])
        self.started_streams += 1
        self.last_start_at = self._timer.now()
        self.running += 1
        return self._tokens(request)

    def compute(
        self,
        request: targets.RoutedRequest,
        stage: targets.Stage,
        token: ledger.TokenKey,
        state: int,
    ) -> int:
        """Runs one token through the layers of one stage."""
        self.thawed.wait()
        self._check_alive()
        try:
            self.check_stage(request, stage)
        except Refusal as refusal:
            raise StageError(self.address, refusal.reason) from None
        self._timer.sleep(self._reserve_compute_s())
        self.thawed.wait()
        self._check_alive()
        for layer in range(stage.first, stage.last):
            self._fabric.ledger.note_layer(token, layer)
            state = layers.run_layer(state, layer)
        return state

    def _tokens(
        self, request: targets.RoutedRequest
    ) -> Iterator[targets.Token]:
        try:
            self._fabric.ledger.prefilled_tokens += len(request.delivered)
            for position in range(len(request.delivered), request.max_tokens):
                yield self._next_token(request, position)
        finally:
            self.running -= 1

    def _next_token(
        self, request: targets.RoutedRequest, position: int
    ) -> targets.Token:
        token = ledger.TokenKey(request.request_id, request.attempt, position)
        state = layers.first_state(
            request.model,
            request.version,
            request.adapter,
            request.prompt,
            position,
        )
        source = self.address
        for stage in request.stages:
            engine = self._fabric.stage(source, stage)
            state = engine.compute(request, stage, token, state)
            source = stage.address
        self._check_alive()
        self._fabric.ledger.note_emitted(token, request.stages[-1].last)
        return targets.Token(
            request.request_id,
            request.attempt,
            position,
            layers.token_text(state),
            position + 1 == request.max_tokens,
        )

    def _reserve_compute_s(self) -> float:
        now = self._timer.now()
        self._idle_at = max(self._idle_at, now)
        self._idle_at += 1.0 / self.config.capacity_tps
        return self._idle_at - now + self.config.stage_s

    def _check_alive(self) -> None:
        if self.dead:
            raise StageError(self.address, 'unreachable')

    def _finish_load(self, order: targets.Order) -> None:
        self._pending_loads -= 1
        if not self.dead and order is self.orders_taken[-1]:
            self._holdings = order.holdings

    def _current_report(self) -> targets.TargetReport:
        return targets.TargetReport(
            address=self.address,
            holdings=self._holdings,
            capacity_tps=self.config.capacity_tps,
            running=self.running,
            queued=0,
            leaving=self.leaving,
            loading=self._pending_loads > 0,
            checks_fencing=self.config.checks_fencing,
            fencing=self.fencing,
        )
