"""One caller's request with its route, and the exceptions that end it."""

from typing import NamedTuple

from . import desired_state
from . import dialect
from . import http_server
from . import outcomes
from . import urgency_ranks


class Exchange(NamedTuple):
    """An admitted request with its route, organisation and deadline.

    :ivar ends_at: monotonic time at which the caller gets a final response.
    :ivar urgencies: urgencies of the service's routes, empty if all are the
        same.
    """

    request: http_server.Request
    facts: dialect.RequestFacts
    answerer: http_server.Answerer
    route: desired_state.Route
    service: desired_state.Service
    organisation: desired_state.Organisation | None
    ends_at: float
    urgencies: urgency_ranks.Urgencies = ()

    @property
    def urgency(self) -> int:
        """Urgency of the request: the organisation's, else the route's."""
        if self.organisation and self.organisation.urgency is not None:
            return self.organisation.urgency
        return self.route.urgency

    @property
    def sent_urgency(self) -> int | None:
        """Urgency sent to targets, ``None`` where all routes have the same."""
        if self.service.engine is None or not self.urgencies:
            return None
        return min(max(self.urgency, 0), urgency_ranks.MAX_RANKS - 1)


class RequestRefused(Exception):
    """Ends a request with a refusal by the relay itself.

    :ivar has_run: whether a target may have run the request.
    :ivar retry_after_s: when the caller may retry, ``None`` if not given.
    """

    def __init__(
        self,
        refusal: outcomes.Refusal,
        has_run: bool,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{refusal}, has run: {has_run}')
        self.refusal = refusal
        self.has_run = has_run
        self.retry_after_s = retry_after_s


class PassFailureOn(Exception):
    """Ends a request with the last response of a target."""

    def __init__(self, answer: outcomes.CompleteResponse) -> None:
        super().__init__(f'status {answer.head.status}')
        self.response = answer


class StreamAborted(Exception):
    """Ends a stream whose response has begun and can't be completed."""

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal)
        self.refusal = refusal
