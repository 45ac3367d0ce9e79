"""A transport between instances of one process, with faults by seed.

A call runs at once in the caller's task; together with ``ManualTimers``
the same seed gives the same run.
"""

from collections.abc import Iterable
import random

from cactusmux_base import timers
from cactusmux_peers import transport
from returns import result


class MemoryNetwork:
    """Connects transports; loses messages, splits and pauses nodes."""

    def __init__(self, rng: random.Random) -> None:
        self.loss = 0.0
        self.largest_call_bytes = 0
        self._rng = rng
        self._handler_by_address: dict[str, transport.Handler] = {}
        self._paused: set[str] = set()
        self._side_by_address: dict[str, int] = {}

    def attach(self, address: str, handler: transport.Handler) -> None:
        """Makes a node answer at an address."""
        self._handler_by_address[address] = handler

    def detach(self, address: str) -> None:
        """Makes an address unreachable, as after a crash."""
        self._handler_by_address.pop(address, None)

    def pause(self, address: str) -> None:
        """Makes a node neither answer nor call."""
        self._paused.add(address)

    def resume(self, address: str) -> None:
        """Ends a pause."""
        self._paused.discard(address)

    def split(self, addresses: Iterable[str]) -> None:
        """Cuts the given nodes off from all others."""
        self._side_by_address = dict.fromkeys(addresses, 1)

    def heal(self) -> None:
        """Ends a split."""
        self._side_by_address = {}

    def call(
        self,
        caller: str,
        peer_address: str,
        method: transport.Method,
        request: bytes,
    ) -> result.Result[bytes, transport.PeerError]:
        """Carries one call, or loses the request or its answer."""
        self.largest_call_bytes = max(self.largest_call_bytes, len(request))
        handler = self._handler_by_address.get(peer_address)
        if handler is None:
            return result.Failure(transport.PeerNotSent(peer_address))
        if not self._is_open(caller, peer_address) or self._is_lost():
            return result.Failure(transport.PeerUnreachable(peer_address))
        try:
            answer = handler(method, request)
        except transport.CallRefused as error:
            return result.Failure(
                transport.PeerRefused(peer_address, error.detail)
            )
        if self._is_lost():
            return result.Failure(transport.PeerUnreachable(peer_address))
        self.largest_call_bytes = max(self.largest_call_bytes, len(answer))
        return result.Success(answer)

    def _is_open(self, caller: str, callee: str) -> bool:
        if {caller, callee} & self._paused:
            return False
        sides = self._side_by_address
        return sides.get(caller, 0) == sides.get(callee, 0)

    def _is_lost(self) -> bool:
        return self.loss > 0 and self._rng.random() < self.loss


class MemoryTransport(transport.PeerTransport):
    """One node's end of a :class:`MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, address: str) -> None:
        self._network = network
        self._address = address

    @property
    def address(self) -> str:
        return self._address

    def serve(self, handler: transport.Handler) -> None:
        self._network.attach(self._address, handler)

    def call(
        self,
        peer_address: str,
        method: transport.Method,
        request: bytes,
        timeout_s: float,
    ) -> result.Result[bytes, transport.PeerError]:
        return self._network.call(self._address, peer_address, method, request)

    def forget(self, peer_address: str) -> None:
        pass

    def close(self) -> None:
        self._network.detach(self._address)


class PausableTimers(timers.TimerService):
    """One node's timers; while it is paused no callback of it runs."""

    def __init__(self, timer: timers.ManualTimers) -> None:
        self._timer = timer
        self._paused = False
        self._late: list[timers.Callback] = []
        self._jobs: list[timers.Subscription] = []

    def now(self) -> float:
        return self._timer.now()

    def wall(self) -> float:
        return self._timer.wall()

    def sleep(self, seconds: float) -> None:
        self._timer.sleep(seconds)

    def after(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._keep(
            self._timer.after(seconds, lambda: self._run(callback, True))
        )

    def every(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._keep(
            self._timer.every(seconds, lambda: self._run(callback, False))
        )

    def pause(self) -> None:
        """Holds callbacks back."""
        self._paused = True

    def resume(self) -> None:
        """Runs the one-time callbacks that fell due meanwhile."""
        self._paused = False
        late, self._late = self._late, []
        for callback in late:
            callback()

    def end(self) -> None:
        """Cancels everything, as when the process is killed."""
        for job in self._jobs:
            job.cancel()

    def _keep(self, job: timers.Subscription) -> timers.Subscription:
        self._jobs.append(job)
        return job

    def _run(self, callback: timers.Callback, once: bool) -> None:
        if not self._paused:
            callback()
        elif once:
            self._late.append(callback)
