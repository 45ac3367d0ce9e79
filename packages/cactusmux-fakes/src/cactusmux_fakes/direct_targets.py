"""Calls to fake engines in the same process, without sockets.

With manual timers a whole session runs in one task and is deterministic.
"""

from collections.abc import Iterator

from cactusmux_platform import targets
from returns import result

from . import engines

STALL_POLL_S = 0.05
MAX_STALL_S = 60.0


class DirectTargetClient(targets.TargetClient):
    """Calls the engines of one fabric by their address."""

    def __init__(self, fabric: engines.Fabric) -> None:
        self._fabric = fabric
        self.opened: list[targets.RoutedRequest] = []
        self.streams: list[DirectTokenStream] = []

    def report(
        self, address: str
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        engine = self._fabric.engine_by_address.get(address)
        if engine is None or engine.dead:
            return result.Failure(targets.NotSent(address))
        if not engine.thawed.is_set():
            return result.Failure(targets.StreamStalled(address))
        return result.Success(engine.report())

    def open_stream(
        self, request: targets.RoutedRequest, accept_s: float
    ) -> result.Result[targets.TokenStream, targets.TargetError]:
        address = request.stages[0].address
        engine = self._fabric.engine_by_address.get(address)
        if engine is None or engine.dead:
            return result.Failure(targets.NotSent(address))
        try:
            tokens = engine.start(request)
        except engines.Refusal as refusal:
            return result.Failure(
                targets.TargetRefused(address, refusal.reason)
            )
        self.opened.append(request)
        stream = DirectTokenStream(self._fabric, request, tokens)
        self.streams.append(stream)
        return result.Success(stream)

    def send_order(
        self, address: str, order: targets.Order
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        engine = self._fabric.engine_by_address.get(address)
        if engine is None or engine.dead:
            return result.Failure(targets.NotSent(address))
        try:
            return result.Success(engine.take_order(order))
        except engines.Refusal as refusal:
            return result.Failure(targets.OrderFenced(address, refusal.reason))


class DirectTokenStream(targets.TokenStream):
    """Tokens of an engine; stalls while a stage of its route is frozen.

    ``injected`` tokens are yielded before the engine's next one, to simulate
    a network that delivers them late or to the wrong stream.
    """

    def __init__(
        self,
        fabric: engines.Fabric,
        request: targets.RoutedRequest,
        tokens: Iterator[targets.Token],
    ) -> None:
        self.closed = False
        self.injected: list[targets.Token] = []
        self.sent: list[targets.Token] = []
        self._fabric = fabric
        self._request = request
        self._tokens = tokens

    def __iter__(self) -> Iterator[targets.Token]:
        while True:
            self._wait_while_frozen()
            yield from self._take_injected()
            try:
                token = next(self._tokens)
            except StopIteration:
                return
            except engines.StageError as error:
                raise targets.StreamBroken(
                    error.address, error.reason
                ) from error
            self.sent.append(token)
            yield token

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._tokens.close()  # type: ignore[attr-defined]

    def _take_injected(self) -> Iterator[targets.Token]:
        while self.injected:
            yield self.injected.pop(0)

    def _wait_while_frozen(self) -> None:
        waited_s = 0.0
        while self._is_frozen():
            if self.closed or waited_s > MAX_STALL_S:
                raise targets.StreamBroken(
                    self._request.stages[0].address, 'closed'
                )
            self._fabric.timer.sleep(STALL_POLL_S)
            waited_s += STALL_POLL_S

    def _is_frozen(self) -> bool:
        engine_by_address = self._fabric.engine_by_address
        return any(
            not engine_by_address[stage.address].thawed.is_set()
            for stage in self._request.stages
            if stage.address in engine_by_address
        )
