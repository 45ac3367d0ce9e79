"""Records the decisions taken for recent requests, by request id."""

import collections
from typing import NamedTuple

from cactusmux_base import timers

MAX_REQUESTS = 2_000
MAX_STEPS = 64


class Step(NamedTuple):
    """A decision, ``at_s`` seconds after the request arrived."""

    at_s: float
    event: str
    fields: dict[str, object]


class Trace:
    """The first ``MAX_STEPS`` decisions taken for a request."""

    def __init__(self, timer: timers.TimerService, request_id: str) -> None:
        self.request_id = request_id
        self.steps: list[Step] = []
        self._timer = timer
        self._start = timer.now()

    def add(self, event: str, **fields: object) -> None:
        """Records a decision; decisions above the limit are dropped."""
        if len(self.steps) >= MAX_STEPS:
            return
        at_s = round(self._timer.now() - self._start, 6)
        self.steps.append(Step(at_s, event, fields))


class ExplainLog:
    """Traces of the last ``MAX_REQUESTS`` requests."""

    def __init__(self, timer: timers.TimerService) -> None:
        self._timer = timer
        self._trace_by_request: collections.OrderedDict[str, Trace] = (
            collections.OrderedDict()
        )

    def start(self, request_id: str) -> Trace:
        """Returns a new trace; evicts the oldest one above the limit."""
        trace = Trace(self._timer, request_id)
        self._trace_by_request[request_id] = trace
        if len(self._trace_by_request) > MAX_REQUESTS:
            self._trace_by_request.popitem(last=False)
        return trace

    def find(self, request_id: str) -> Trace | None:
        """Returns the trace of a request, or ``None`` if it was evicted."""
        return self._trace_by_request.get(request_id)
