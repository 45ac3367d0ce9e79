"""Passes the events of a stream on to its caller, each at most once."""

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
    """What one caller has got so far, over all attempts.

    :ivar last_id: of the last event that was passed on, or that the caller
        had before.
    :ivar has_begun: whether the head of the answer was sent.
    :ivar first_at: when the first event was passed on, 0 before it.
    """

    def __init__(
        self,
        answerer: http_server.Answerer,
        spelling: dialect.Dialect,
        timer: timers.TimerService,
        last_id: int | None,
    ) -> None:
        self._answerer = answerer
        self._spelling = spelling
        self._timer = timer
        self._passed_at = 0.0
        self.last_id = last_id
        self.has_begun = False
        self.first_at = 0.0
        self.longest_pause_s = 0.0

    def pass_on(
        self,
        head: target_calls.ResponseHead,
        call: target_calls.TargetCall,
        note_arrived: Callable[[], None],
    ) -> None:
        """Passes events on as they arrive; raises :class:`StreamBroken`.

        :param note_arrived: called for each event, also for those that the
            caller has got already.
        """
        for event in _events(call):
            note_arrived()
            if not self._is_next(event):
                continue
            self._begin(head)
            self._answerer.send(event.data)
            self._note_passed()
        self._begin(head)
        self._answerer.finish()

    def _is_next(self, event: event_stream.Event) -> bool:
        """Whether an event is due; raises on a gap in the ids."""
        if event.id is None:
            return True
        last_id = self.last_id
        if last_id is not None and event.id <= last_id:
            return False
        if last_id is not None and event.id != last_id + 1:
            raise StreamBroken(f'event {event.id} came after {last_id}')
        self.last_id = event.id
        return True

    def _begin(self, head: target_calls.ResponseHead) -> None:
        if self.has_begun:
            return
        self.has_begun = True
        headers = self._spelling.caller_headers(head)
        kept = [each for each in headers if each[0] != b'content-length']
        self._answerer.start(head.status, kept)

    def _note_passed(self) -> None:
        """Notes that the caller has got an event, on whichever path."""
        now = self._timer.now()
        if not self.first_at:
            self.first_at = now
        else:
            pause_s = now - self._passed_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._passed_at = now


def _events(call: target_calls.TargetCall) -> Iterator[event_stream.Event]:
    splitter = event_stream.EventSplitter()
    try:
        for part in call.body_chunks():
            yield from splitter.feed(part)
    except target_calls.AnswerBroken as broken:
        raise StreamBroken(broken.detail) from broken
    except event_stream.EventTooLong as endless:
        raise StreamBroken(str(endless)) from endless
    if splitter.rest:
        raise StreamBroken('ended within an event')
