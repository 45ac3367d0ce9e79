"""Forwards the events of a stream to its caller, each at most once."""

from collections.abc import Callable, Iterator

from cactusmux_base import timers

from . import dialect
from . import event_stream
from . import http_server
from . import target_calls


class StreamBroken(Exception):
    """The stream broke off; it may be resumed."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class EventForwarder:
    """Forwards events to one caller, over all attempts of its stream.

    :ivar last_id: id of the last event that the caller has; it may have
        received it before this request.
    :ivar has_begun: whether the head of the response was sent.
    :ivar first_at: when the first event was forwarded, 0 before it.
    """

    def __init__(
        self,
        answerer: http_server.Answerer,
        header_dialect: dialect.Dialect,
        timer: timers.TimerService,
        last_id: int | None,
    ) -> None:
        self._answerer = answerer
        self._header_dialect = header_dialect
        self._timer = timer
        self._last_forwarded_at = 0.0
        self.last_id = last_id
        self.has_begun = False
        self.first_at = 0.0
        self.longest_pause_s = 0.0

    def forward(
        self,
        head: target_calls.ResponseHead,
        call: target_calls.TargetCall,
        on_event: Callable[[], None],
    ) -> None:
        """Forwards events as they arrive; raises :class:`StreamBroken`.

        :param on_event: called for each event, also for those that the
            caller already has.
        """
        has_events = self.last_id is not None
        for event in _events(call):
            has_events = True
            on_event()
            if not self._is_next(event):
                continue
            self._begin(head)
            self._answerer.send(event.data)
            self._record_forwarded()
        if head.ends_with_connection and not has_events:
            # Nothing else tells an answer without events from a lost one.
            raise StreamBroken('connection closed before the first event')
        self._begin(head)
        self._answerer.finish()

    def _is_next(self, event: event_stream.Event) -> bool:
        """Whether the caller lacks an event; raises on a gap in the ids."""
        if event.id is None:
            return True
        last_id = self.last_id
        if last_id is not None and event.id <= last_id:
            return False
        if last_id is not None and event.id != last_id + 1:
            raise StreamBroken(f'event {event.id} follows event {last_id}')
        self.last_id = event.id
        return True

    def _begin(self, head: target_calls.ResponseHead) -> None:
        if self.has_begun:
            return
        self.has_begun = True
        headers = self._header_dialect.caller_headers(head)
        kept = [each for each in headers if each[0] != b'content-length']
        self._answerer.start(head.status, kept)

    def _record_forwarded(self) -> None:
        """Records the time of a forwarded event, on whichever path."""
        now = self._timer.now()
        if not self.first_at:
            self.first_at = now
        else:
            pause_s = now - self._last_forwarded_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_forwarded_at = now


def _events(call: target_calls.TargetCall) -> Iterator[event_stream.Event]:
    splitter = event_stream.EventSplitter()
    try:
        for part in call.body_chunks():
            yield from splitter.feed(part)
    except target_calls.AnswerBroken as broken:
        raise StreamBroken(broken.detail) from broken
    except event_stream.EventTooLong as too_long:
        raise StreamBroken(str(too_long)) from too_long
    if splitter.rest:
        raise StreamBroken('ended within an event')
