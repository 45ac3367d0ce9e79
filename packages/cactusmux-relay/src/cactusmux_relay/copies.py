"""Transfers copies of mirrored prefixes between instances over HTTP.

An instance that learns of a newer change at a peer fetches the peer's copy
unless its own watch delivers the change in time. It waits only briefly if
the store doesn't answer it, and longer if the store does: a large document
takes a while over a slow link, longer still when all instances receive it.
"""

from collections.abc import Callable, Mapping
import random
from typing import NamedTuple

from cactusmux_base import decimals
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
PULL_DELAY_S = 0.25
# A random range, so that not all instances ask the same peer at once.
ANSWERED_PULL_DELAY_S = (0.5, 0.8)
# For an instance that doesn't watch the store itself.
FOLLOWER_PULL_DELAY_S = (0.0, 0.4)
# The store counts as answering if it answered any call within this time.
MAX_ANSWER_AGE_S = 2.0
CALL_TIMEOUT_S = 1.0
CONNECTIONS = 2
HEADERS = [
    (b'content-type', b'application/msgpack'),
    (b'content-encoding', b'deflate'),
]
# Era of the copy; builds without eras don't send it.
ERA_HEADER = 'cactusmux-copy-era'


class _Packed(NamedTuple):
    position: stores.Position
    body: bytes


class CopyHandler:
    """Answers ``GET /copies/PREFIX`` with the instance's copy."""

    def __init__(
        self, mirror_by_prefix: dict[str, store_mirror.StoreMirror]
    ) -> None:
        self._mirror_by_prefix = mirror_by_prefix
        self._packed_by_prefix: dict[str, _Packed] = {}

    def handle(
        self, request: http_server.Request, answerer: http_server.Answerer
    ) -> None:
        """Handles one request of :mod:`http_server`."""
        prefix = request.path.removeprefix(PATH)
        mirror = self._mirror_by_prefix.get(prefix)
        if mirror is None:
            answerer.answer(404, [], b'')
            return
        packed = self._packed(prefix, mirror)
        era = str(packed.position.era).encode()
        headers = [*HEADERS, (ERA_HEADER.encode(), era)]
        answerer.answer(200, headers, packed.body)

    def _packed(
        self, prefix: str, mirror: store_mirror.StoreMirror
    ) -> _Packed:
        """Returns the packed copy, cached until the position changes."""
        known = self._packed_by_prefix.get(prefix)
        if known is not None and known.position == mirror.position:
            return known
        copy = mirror.copy()
        packed = _Packed(copy.position, copy_packing.pack(copy))
        self._packed_by_prefix[prefix] = packed
        return packed


class CopyPuller:
    """Fetches copies from peers that have newer ones.

    :param answered_at: returns when the store last answered this instance.
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
        self._announcers_by_prefix: dict[str, set[str]] = {}
        self._failed_prefixes: set[str] = set()

    def is_pulling(self, prefix: str) -> bool:
        """Whether a copy of the prefix is being fetched."""
        return prefix in self._pulling

    def handle_peer_changes(
        self, address: str, changed_by_prefix: Mapping[str, stores.Position]
    ) -> None:
        """Handles the last change positions of the peer at ``address``."""
        for prefix, announced in changed_by_prefix.items():
            mirror = self._mirror_by_prefix.get(prefix)
            if mirror is None:
                continue
            if announced <= mirror.position:
                self._forget(prefix)
                continue
            self._announcers_by_prefix.setdefault(prefix, set()).add(address)
            if prefix not in self._pulling:
                self._pulling.add(prefix)
                gevent.spawn(self._pull, mirror, prefix, announced)

    def _forget(self, prefix: str) -> None:
        if prefix not in self._pulling:
            self._failed_prefixes.discard(prefix)
            self._announcers_by_prefix.pop(prefix, None)

    def _pull(
        self,
        mirror: store_mirror.StoreMirror,
        prefix: str,
        announced: stores.Position,
    ) -> None:
        try:
            self._timer.sleep(self.pull_delay_s(prefix))
            # Chosen among all peers that announced it, to share the load.
            announcers = self._announcers_by_prefix.pop(prefix)
            if mirror.position >= announced:
                return
            address = self._rng.choice(sorted(announcers))
            copy = self._fetch(prefix, address)
            if copy is None:
                self._failed_prefixes.add(prefix)
                return
            self._failed_prefixes.discard(prefix)
            mirror.apply_copy(copy)
        finally:
            self._pulling.discard(prefix)

    def pull_delay_s(self, prefix: str) -> float:
        """Returns how many seconds to wait for the own watch first."""
        mirror = self._mirror_by_prefix[prefix]
        if (
            mirror.position == stores.NOWHERE
            or prefix in self._failed_prefixes
        ):
            return 0.0
        if not mirror.is_watching:
            return self._rng.uniform(*FOLLOWER_PULL_DELAY_S)
        age_s = self._timer.now() - self._answered_at()
        is_store_usable = mirror.is_connected and not mirror.has_missed_changes
        if not is_store_usable or age_s > MAX_ANSWER_AGE_S:
            return PULL_DELAY_S
        return mirror.batch_left_s + self._rng.uniform(*ANSWERED_PULL_DELAY_S)

    def _fetch(self, prefix: str, address: str) -> store_mirror.Copy | None:
        caller = http_calls.HttpCaller(address, CONNECTIONS, CALL_TIMEOUT_S)
        try:
            called = caller.call('GET', PATH + prefix, b'', CALL_TIMEOUT_S)
        finally:
            caller.close()
        match called:
            case result.Success(http_calls.Response(200) as response):
                return self._unpack(response, address)
            case result.Failure(failure):
                events.info(
                    'copy_not_had', address=address, reason=failure.reason
                )
        return None

    def _unpack(
        self, response: http_calls.Response, address: str
    ) -> store_mirror.Copy | None:
        text = response.header(ERA_HEADER) or '0'
        era = decimals.read(text)
        if era is None:
            events.warning('copy_era_unreadable', address=address, value=text)
            return None
        match copy_packing.unpack(response.body, era):
            case result.Success(copy):
                return copy
            case result.Failure(failure):
                events.warning(
                    failure.reason, address=address, cause=failure.cause
                )
        return None
