"""An in-process transport between instances, with seeded faults.

A call runs synchronously in the caller's task; with ``ManualTimers`` the same
seed reproduces the same run.
"""

from collections.abc import Iterable
import random

from cactusmux_base import timers
from cactusmux_peers import transport
from returns import result


class MemoryNetwork:
    """Connects transports; drops messages, partitions and pauses nodes."""

    def __init__(self, rng: random.Random) -> None:
        self.loss = 0.0
        self.largest_call_bytes = 0
        self._rng = rng
        self._handler_by_address: dict[str, transport.Handler] = {}
        self._paused: set[str] = set()
        self._partition_by_address: dict[str, int] = {}

    def attach(self, address: str, handler: transport.Handler) -> None:
        """Registers the handler of a node at an address."""
        self._handler_by_address[address] = handler

    def detach(self, address: str) -> None:
        """Makes an address unreachable, as after a crash."""
        self._handler_by_address.pop(address, None)

    def pause(self, address: str) -> None:
        """Stops a node from answering and calling."""
        self._paused.add(address)

    def resume(self, address: str) -> None:
        """Ends a pause."""
        self._paused.discard(address)

    def split(self, addresses: Iterable[str]) -> None:
        """Partitions the given nodes from all others."""
        self._partition_by_address = dict.fromkeys(addresses, 1)

    def heal(self) -> None:
        """Ends a partition."""
        self._partition_by_address = {}

    def call(
        self,
        caller: str,
        peer_address: str,
        method: transport.Method,
        request: bytes,
    ) -> result.Result[bytes, transport.PeerError]:
        """Delivers one call, or drops the request or its response."""
        self.largest_call_bytes = max(self.largest_call_bytes, len(request))
        handler = self._handler_by_address.get(peer_address)
        if handler is None:
            return result.Failure(transport.PeerNotSent(peer_address))
        if not self._is_connected(caller, peer_address) or self._is_lost():
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

    def _is_connected(self, caller: str, callee: str) -> bool:
        if {caller, callee} & self._paused:
            return False
        partitions = self._partition_by_address
        return partitions.get(caller, 0) == partitions.get(callee, 0)

    def _is_lost(self) -> bool:
        return self.loss > 0 and self._rng.random() < self.loss


class MemoryTransport(transport.PeerTransport):
    """One node's endpoint in a :class:`MemoryNetwork`."""

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
    """One node's timers; no callback runs while the node is paused."""

    def __init__(self, timer: timers.ManualTimers) -> None:
        self._timer = timer
        self._paused = False
        self._deferred: list[timers.Callback] = []
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
        return self._track(
            self._timer.after(seconds, lambda: self._run(callback, True))
        )

    def every(
        self, seconds: float, callback: timers.Callback
    ) -> timers.Subscription:
        return self._track(
            self._timer.every(seconds, lambda: self._run(callback, False))
        )

    def pause(self) -> None:
        """Defers all callbacks."""
        self._paused = True

    def resume(self) -> None:
        """Runs the one-time callbacks that came due during the pause."""
        self._paused = False
        deferred, self._deferred = self._deferred, []
        for callback in deferred:
            callback()

    def end(self) -> None:
        """Cancels everything, as when the process is killed."""
        for job in self._jobs:
            job.cancel()

    def _track(self, job: timers.Subscription) -> timers.Subscription:
        self._jobs.append(job)
        return job

    def _run(self, callback: timers.Callback, once: bool) -> None:
        if not self._paused:
            callback()
        elif once:
            self._deferred.append(callback)
