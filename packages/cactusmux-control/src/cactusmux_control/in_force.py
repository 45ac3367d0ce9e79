"""The service documents in force on this instance, kept up to date.

Updates come from three sources: a store watch by a few members of each
availability zone, revisions announced by peers with bodies fetched from them,
and a slow poll of the store that finds changes missed by the other two.
"""

from collections.abc import Callable, Mapping
import math
import random

from cactusmux_base import events
from cactusmux_base import failures
from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import stores
import gevent
from returns import result

from . import document_pull
from . import document_sources
from . import document_watch
from . import documents
from . import held_documents

START_GRACE_S = 1.0
POLL_PERIOD_S = 5.0
PEER_SILENCE_S = 10.0
FIRST_POLL_RETRY_S = 1.0
MAX_POLL_RETRY_S = 8.0

Callback = Callable[[str, documents.InForce], None]


class NoDocument(failures.CactusmuxError):
    """No document of the service is in force on this instance.

    Unless ``heard``, neither the store nor a peer has responded since the
    start, so the service may have a document.
    """

    reason = 'no_document'

    def __init__(self, service: str, heard: bool) -> None:
        why = 'none exists' if heard else 'not heard of any yet'
        super().__init__(f'no document {service!r} in force: {why}')
        self.service = service
        self.heard = heard


class DocumentsInForce:
    """Keeps the documents in force; none ever reverts to an older revision.

    Nothing is in force until startup is complete: the store and a peer have
    responded, or ``start_grace_s`` has passed. Deleting a document's key
    leaves the document in force.
    """

    def __init__(
        self,
        store: stores.ConfigStore,
        peers: document_sources.DocumentPeers,
        role: document_sources.WatchRole,
        timer: timers.TimerService,
        metric: metrics.Metrics,
        rng: random.Random,
        start_grace_s: float = START_GRACE_S,
    ) -> None:
        """Initialises; makes no calls before :meth:`start`.

        :param start_grace_s: seconds to wait for newer documents of peers
        """
        self._role = role
        self._timer = timer
        self._metric = metric
        self._rng = rng
        self._start_grace_s = start_grace_s
        self._held = held_documents.HeldDocuments(metric)
        self._pull = document_pull.DocumentPull(
            peers,
            self._held.is_wanted,
            timer,
            metric,
            rng,
            self._offer_from_peer,
        )
        self._watch = document_watch.DocumentWatch(
            store, role, timer, metric, rng, self._offer_entry
        )
        self._callbacks: list[Callback] = []
        self._settled = False
        self._has_peer_response = False
        self._announced_at = -math.inf
        self._poll_retry_s = FIRST_POLL_RETRY_S
        self._stopped = False
        self._watcher: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the watch, the polls and the start grace period."""
        self.start_timers()
        self._watcher = gevent.spawn(self._watch.run)

    def start_timers(self) -> None:
        """Starts everything that runs on timers: all but the watch."""
        self._timer.after(self._start_grace_s, self._settle)
        self._timer.after(0.0, self._poll_and_schedule)

    def stop(self) -> None:
        """Stops updates; documents in force stay readable."""
        self._stopped = True
        if self._watcher is not None:
            self._watcher.kill()

    def find(
        self, service: str
    ) -> result.Result[documents.InForce, NoDocument]:
        """Returns a service's document in force, or the reason for none."""
        in_force = self.in_force(service)
        if in_force is not None:
            return result.Success(in_force)
        heard = self._settled and self._has_any_response()
        return result.Failure(NoDocument(service, heard))

    def in_force(self, service: str) -> documents.InForce | None:
        """Returns a service's document in force."""
        held = self._held.held_by_service.get(service)
        return held.in_force if held and self._settled else None

    def all_in_force(self) -> dict[str, documents.InForce]:
        """Returns all documents in force by service."""
        if not self._settled:
            return {}
        return {
            service: held.in_force
            for service, held in sorted(self._held.held_by_service.items())
        }

    def revision_by_service(self) -> dict[str, int]:
        """Returns the revisions in force, for announcing them to peers."""
        return {
            service: held.in_force.revision
            for service, held in self._held.held_by_service.items()
        }

    def body(self, service: str) -> document_sources.DocumentBody | None:
        """Returns the body in force, for serving it to peers."""
        held = self._held.held_by_service.get(service)
        return held.body if held else None

    def state_by_service(self) -> dict[str, held_documents.DocumentState]:
        """Returns the status of all documents, refused ones included."""
        return self._held.state_by_service(
            self._watch.store_revision_by_service
        )

    def subscribe(self, callback: Callback) -> None:
        """Calls ``callback`` for each document that comes into force.

        It must not block. It is called at once for documents that are
        already in force.
        """
        self._callbacks.append(callback)
        for service, in_force in self.all_in_force().items():
            self._call(callback, service, in_force)

    def is_watcher(self) -> bool:
        """Returns whether this instance should watch the store."""
        return self._role.is_watcher()

    def watch_once(self) -> bool:
        """Waits for one watch response; returns ``False`` on failure."""
        return self._watch.watch_once()

    def poll_once(self) -> bool:
        """Reads all documents; returns ``False`` if the store call failed."""
        polled = self._watch.poll_once()
        self._settle_if_ready()
        return polled

    def record_peer_revisions(
        self, peer_address: str, revision_by_service: Mapping[str, int]
    ) -> None:
        """Records the revisions in force at a peer; does not block.

        Bodies newer than those of this instance are fetched shortly after,
        from peers that announced them.
        """
        self._announced_at = self._timer.now()
        # A peer without documents may not have received any yet.
        self._has_peer_response = self._has_peer_response or bool(
            revision_by_service
        )
        self._pull.record_revisions(peer_address, revision_by_service)
        self._settle_if_ready()

    def pull_once(self) -> None:
        """Fetches the newest bodies that peers have announced."""
        self._pull.pull_once()
        self._settle_if_ready()

    def _poll_and_schedule(self) -> None:
        if self._stopped:
            return
        self.poll_once()
        self._timer.after(self._next_poll_s(), self._poll_and_schedule)

    def _next_poll_s(self) -> float:
        """Returns the seconds to the next poll.

        While peers announce revisions, the period is proportional to the
        size of the zone, so that the poll rate of a zone is constant. Before
        the store or a peer has responded, it is a short backoff.
        """
        if not self._has_any_response():
            retry_s = self._poll_retry_s
            self._poll_retry_s = min(2.0 * retry_s, MAX_POLL_RETRY_S)
            return self._rng.uniform(0.5, 1.0) * retry_s
        period_s = POLL_PERIOD_S
        if self._are_peers_announcing():
            period_s *= max(1, self._role.zone_size())
        return self._rng.uniform(0.5, 1.5) * period_s

    def _has_any_response(self) -> bool:
        return self._watch.has_answered or self._has_peer_response

    def _are_peers_announcing(self) -> bool:
        return self._timer.now() - self._announced_at <= PEER_SILENCE_S

    def _settle_if_ready(self) -> None:
        if (
            self._settled
            or not self._watch.has_answered
            or not self._has_peer_response
        ):
            return
        if not self._pull.is_behind():
            self._settle()

    def _settle(self) -> None:
        if self._settled:
            return
        self._settled = True
        for service, in_force in self.all_in_force().items():
            self._announce(service, in_force)

    def _offer_from_peer(self, body: document_sources.DocumentBody) -> None:
        self._offer(body, document_sources.Source.PEER)
        self._settle_if_ready()

    def _offer_entry(self, service: str, entry: stores.Entry) -> None:
        body = document_sources.DocumentBody(
            service, entry.revision, entry.value
        )
        self._offer(body, document_sources.Source.STORE)

    def _offer(
        self,
        body: document_sources.DocumentBody,
        source: document_sources.Source,
    ) -> None:
        in_force = self._held.offer(body, source)
        if in_force is not None and self._settled:
            self._announce(body.service, in_force)

    def _announce(self, service: str, in_force: documents.InForce) -> None:
        for callback in self._callbacks:
            self._call(callback, service, in_force)

    def _call(
        self, callback: Callback, service: str, in_force: documents.InForce
    ) -> None:
        try:
            callback(service, in_force)
        except Exception as error:
            # A failing subscriber must not prevent calls of the others.
            self._metric.count('documents.subscriber_failed')
            events.error(
                'document_subscriber_failed', service=service, error=error
            )
