"""Targets that don't answer now, found by failed connections.

A target is up again when it has started anew, or when it accepts a
connection.
"""

from collections.abc import Callable
import socket as std_socket

from cactusmux_base import events
from cactusmux_base import timers
import gevent
from gevent import socket

from . import targets

PROBE_TIMEOUT_S = 0.06
# A target found to be up isn't probed again for so long.
PROBE_PERIOD_S = 0.4
RECHECK_PERIOD_S = 0.7

Callback = Callable[[str], None]


class DownTargets:
    """Which targets are down, and since which of their starts."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._target_by_id: dict[str, targets.Target] = {}
        self._probed_at_by_id: dict[str, float] = {}
        self._callbacks: list[Callback] = []

    def subscribe(self, callback: Callback) -> None:
        """Calls ``callback`` with the id of each target that goes down."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Begins to look whether targets are up again."""
        self._timer.every(RECHECK_PERIOD_S, self._recheck)

    @property
    def ids(self) -> frozenset[str]:
        """Ids of the targets that are down."""
        return frozenset(self._target_by_id)

    @property
    def known_count(self) -> int:
        """Returns of how many targets something is remembered."""
        return len(self._target_by_id.keys() | self._probed_at_by_id.keys())

    def mark(self, target: targets.Target, cause: str) -> None:
        """Notes that a target is down."""
        if target.id in self._target_by_id:
            return
        self._target_by_id[target.id] = target
        events.warning(
            'target_down',
            target=target.id,
            address=target.address,
            born_ms=target.born_ms,
            cause=cause,
        )
        for callback in self._callbacks:
            callback(target.id)

    def update(self, target_by_id: dict[str, targets.Target]) -> None:
        """Takes a new list: targets gone or started anew aren't down."""
        for target_id, down in list(self._target_by_id.items()):
            current = target_by_id.get(target_id)
            if current is None or current.born_ms != down.born_ms:
                self._mark_up(target_id, 'started anew or gone')
        for target_id in self._probed_at_by_id.keys() - target_by_id.keys():
            del self._probed_at_by_id[target_id]

    def probe(self, target: targets.Target) -> None:
        """Finds out in a task of its own whether a target is down."""
        now = self._timer.now()
        probed_at = self._probed_at_by_id.get(target.id, 0.0)
        if target.id in self._target_by_id or (
            now - probed_at < PROBE_PERIOD_S
        ):
            return
        self._probed_at_by_id[target.id] = now
        gevent.spawn(self._probe_now, target)

    def _probe_now(self, target: targets.Target) -> None:
        cause = connect_failure(target.address)
        if cause is not None:
            self.mark(target, cause)

    def _recheck(self) -> None:
        for target in list(self._target_by_id.values()):
            gevent.spawn(self._recheck_one, target)

    def _recheck_one(self, target: targets.Target) -> None:
        if connect_failure(target.address) is None:
            self._mark_up(target.id, 'accepts connections')

    def _mark_up(self, target_id: str, cause: str) -> None:
        if self._target_by_id.pop(target_id, None) is not None:
            events.info('target_up', target=target_id, cause=cause)


def connect_failure(address: str) -> str | None:
    """Returns why a connection failed, ``None`` if it was accepted."""
    host, _, port = address.rpartition(':')
    sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    try:
        sock.settimeout(PROBE_TIMEOUT_S)
        sock.connect((host, int(port)))
    except TimeoutError:
        return 'connect timed out'
    except OSError as error:
        return error.strerror or 'connect failed'
    finally:
        sock.close()
    return None
