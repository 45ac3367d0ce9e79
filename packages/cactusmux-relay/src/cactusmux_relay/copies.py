"""Copies of the store's content, from instance to instance.

An instance that hears of a change after its own copy asks for that copy
when its own watch hasn't brought it in time: soon if the store doesn't
answer this instance; later if it does, since a large document takes the
watch a while on a small link, longer still when all instances are sent it.
"""

from collections.abc import Callable
import random
from typing import NamedTuple

from cactusmux_base import events
from cactusmux_base import timers
from cactusmux_platform import http_calls
from cactusmux_platform import stores
import gevent
from returns import result

from . import copy_packing
from . import http_server
from . import store_mirror

PATH = '/copies/'
PATIENCE_S = 0.25
# Spread, so that not all instances ask the same one at once.
ANSWERED_PATIENCE_S = (0.5, 0.8)
# Of an instance that doesn't watch by itself.
COPIED_PATIENCE_S = (0.0, 0.4)
# The store counts as answering if it has lately answered any call.
ANSWER_AGE_S = 2.0
CALL_S = 1.0
CONNECTIONS = 2
HEADERS = [
    (b'content-type', b'application/msgpack'),
    (b'content-encoding', b'deflate'),
]


class _Packed(NamedTuple):
    revision: int
    body: bytes


class CopyHandler:
    """Answers ``GET /copies/PREFIX`` with our copy."""

    def __init__(
        self, mirror_by_prefix: dict[str, store_mirror.StoreMirror]
    ) -> None:
        self._mirror_by_prefix = mirror_by_prefix
        self._packed_by_prefix: dict[str, _Packed] = {}

    def handle(
        self, request: http_server.Request, answerer: http_server.Answerer
    ) -> None:
        """Serves one request; a handler of :mod:`http_server`."""
        prefix = request.path.removeprefix(PATH)
        mirror = self._mirror_by_prefix.get(prefix)
        if mirror is None:
            answerer.answer(404, [], b'')
            return
        answerer.answer(200, HEADERS, self._packed(prefix, mirror))

    def _packed(self, prefix: str, mirror: store_mirror.StoreMirror) -> bytes:
        """Packs a copy once for all instances that ask for it."""
        known = self._packed_by_prefix.get(prefix)
        if known is not None and known.revision == mirror.revision:
            return known.body
        copy = mirror.copy()
        packed = _Packed(copy.revision, copy_packing.pack(copy))
        self._packed_by_prefix[prefix] = packed
        return packed.body


class CopyPuller:
    """Asks other instances for copies that are newer than ours.

    :param answered_at: when the store last answered this instance.
    """

    def __init__(
        self,
        mirror_by_prefix: dict[str, store_mirror.StoreMirror],
        timer: timers.TimerService,
        rng: random.Random,
        answered_at: Callable[[], float],
    ) -> None:
        self._mirror_by_prefix = mirror_by_prefix
        self._timer = timer
        self._rng = rng
        self._answered_at = answered_at
        self._pulling: set[str] = set()
        self._tellers_by_prefix: dict[str, set[str]] = {}
        self._not_had: set[str] = set()

    def is_pulling(self, prefix: str) -> bool:
        """Whether a copy of the prefix is being asked for."""
        return prefix in self._pulling

    def note_changes(
        self, address: str, changed_by_prefix: dict[str, int]
    ) -> None:
        """Takes the last changes known to the instance at ``address``."""
        for prefix, changed in changed_by_prefix.items():
            mirror = self._mirror_by_prefix.get(prefix)
            if mirror is None:
                continue
            if changed <= mirror.revision:
                self._forget(prefix)
                continue
            self._tellers_by_prefix.setdefault(prefix, set()).add(address)
            if prefix not in self._pulling:
                self._pulling.add(prefix)
                gevent.spawn(self._pull, mirror, prefix, changed)

    def _forget(self, prefix: str) -> None:
        if prefix not in self._pulling:
            self._not_had.discard(prefix)
            self._tellers_by_prefix.pop(prefix, None)

    def _pull(
        self,
        mirror: store_mirror.StoreMirror,
        prefix: str,
        changed: int,
    ) -> None:
        try:
            self._timer.sleep(self.patience_s(prefix))
            # All that told meanwhile share the answering.
            tellers = self._tellers_by_prefix.pop(prefix)
            if mirror.revision >= changed:
                return
            address = self._rng.choice(sorted(tellers))
            copy = self._fetch(prefix, address)
            if copy is None:
                self._not_had.add(prefix)
                return
            self._not_had.discard(prefix)
            mirror.apply_copy(copy)
        finally:
            self._pulling.discard(prefix)

    def patience_s(self, prefix: str) -> float:
        """Returns how long our own watch may still bring a change."""
        mirror = self._mirror_by_prefix[prefix]
        if mirror.revision == stores.ABSENT or prefix in self._not_had:
            return 0.0
        if not mirror.is_watching:
            return self._rng.uniform(*COPIED_PATIENCE_S)
        age_s = self._timer.now() - self._answered_at()
        is_served = mirror.is_connected and not mirror.has_missed_changes
        if not is_served or age_s > ANSWER_AGE_S:
            return PATIENCE_S
        return mirror.batch_left_s + self._rng.uniform(*ANSWERED_PATIENCE_S)

    def _fetch(self, prefix: str, address: str) -> store_mirror.Copy | None:
        caller = http_calls.HttpCaller(address, CONNECTIONS, CALL_S)
        try:
            called = caller.call('GET', PATH + prefix, b'', CALL_S)
        finally:
            caller.close()
        match called:
            case result.Success(http_calls.Answer(200, body)):
                return self._unpack(body, address)
            case result.Failure(failure):
                events.info(
                    'copy_not_had', address=address, reason=failure.reason
                )
        return None

    def _unpack(self, body: bytes, address: str) -> store_mirror.Copy | None:
        match copy_packing.unpack(body):
            case result.Success(copy):
                return copy
            case result.Failure(failure):
                events.warning(
                    failure.reason, address=address, cause=failure.cause
                )
        return None
