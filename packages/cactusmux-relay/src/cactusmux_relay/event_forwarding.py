"""Forwards the events of a stream to its caller, each at most once."""

from collections.abc import Callable, Iterator

from cactusmux_base import timers
from cactusmux_base import turns

from . import dialect
from . import event_ids
from . import event_stream
from . import http_server
from . import target_calls

# Events are split from pieces of this length, so that other tasks may run in
# between however many events arrive together.
PIECE_BYTES = 4096
# Bytes without an event that is new: more aren't an answer.
MAX_BYTES_WITHOUT_PROGRESS = event_stream.MAX_EVENT_BYTES


class StreamBroken(Exception):
    """The stream broke off; it may be resumed."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.detail = detail


class _Numbering:
    """How the ids of a stream rise, to tell whether a run leaves events out.

    Ids rise by any amount. Only where they have been consecutive does a
    later run that begins further on leave events out.
    """

    def __init__(self) -> None:
        self._has_direct_steps = False
        self._has_jumps = False
        self._is_resuming = False

    def begin_run(self, is_resuming: bool) -> None:
        """Begins a run.

        :param is_resuming: whether the caller has an earlier event.
        """
        self._is_resuming = is_resuming

    def record(
        self, last_id: event_ids.EventId, next_id: event_ids.EventId
    ) -> None:
        """Records two ids in a row; raises :class:`StreamBroken` on a gap."""
        is_direct = next_id.directly_follows(last_id)
        if not self._is_resuming:
            self._has_direct_steps |= is_direct
            self._has_jumps |= not is_direct
            return
        self._is_resuming = False
        is_consecutive = self._has_direct_steps and not self._has_jumps
        if is_consecutive and not is_direct:
            raise StreamBroken(
                f'event {next_id.logged} follows event {last_id.logged}'
            )


class _RunProgress:
    """Tells whether the events of one run are new.

    A target that only repeats an event, or sends comments, isn't writing.
    """

    def __init__(self) -> None:
        self._last_id: event_ids.EventId | None = None
        self._idle_bytes = 0

    def record(self, event: event_stream.Event) -> bool:
        """Whether an event is new; raises :class:`StreamBroken`."""
        if self._is_new(event):
            self._idle_bytes = 0
            return True
        self._idle_bytes += len(event.data)
        if self._idle_bytes > MAX_BYTES_WITHOUT_PROGRESS:
            raise StreamBroken(f'{self._idle_bytes} bytes without a new event')
        return False

    def _is_new(self, event: event_stream.Event) -> bool:
        if event.id is None:
            return not event.is_comment
        last_id, self._last_id = self._last_id, event.id
        return last_id is None or event.id.is_after(last_id)


class EventForwarder:
    """Forwards events to one caller, over all attempts of its stream.

    :ivar last_id: id of the last event that the caller has; it may have
        received it before this request.
    :ivar sent_count: number of events sent to the caller.
    :ivar has_begun: whether the head of the response was sent.
    :ivar first_at: when the first event was forwarded, 0 before it.
    """

    def __init__(
        self,
        answerer: http_server.Answerer,
        header_dialect: dialect.Dialect,
        timer: timers.TimerService,
        last_id: event_ids.EventId | None,
    ) -> None:
        self._answerer = answerer
        self._header_dialect = header_dialect
        self._timer = timer
        self._last_forwarded_at = 0.0
        self._numbering = _Numbering()
        self.last_id = last_id
        self.sent_count = 0
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

        :param on_event: called for each event that is new in this run, also
            if the caller already has it.
        """
        has_events = self.last_id is not None
        self._numbering.begin_run(self.last_id is not None)
        progress = _RunProgress()
        for event in _events(call):
            if progress.record(event):
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
        """Whether the caller lacks an event; raises if one is missing."""
        if event.id is None:
            return True
        last_id = self.last_id
        if last_id is not None:
            if not event.id.is_after(last_id):
                return False
            self._numbering.record(last_id, event.id)
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
        """Counts and times a forwarded event, on whichever path."""
        self.sent_count += 1
        now = self._timer.now()
        if not self.first_at:
            self.first_at = now
        else:
            pause_s = now - self._last_forwarded_at
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_forwarded_at = now


def _events(call: target_calls.TargetCall) -> Iterator[event_stream.Event]:
    splitter = event_stream.EventSplitter()
    own_turns = turns.Turns()
    try:
        for part in call.body_chunks():
            for start in range(0, len(part), PIECE_BYTES):
                own_turns.record()
                for event in splitter.feed(part[start : start + PIECE_BYTES]):
                    own_turns.record()
                    yield event
    except target_calls.AnswerBroken as broken:
        raise StreamBroken(broken.detail) from broken
    except event_stream.EventTooLong as too_long:
        raise StreamBroken(str(too_long)) from too_long
    if splitter.rest:
        raise StreamBroken('ended within an event')
