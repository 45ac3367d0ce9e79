"""One caller's request with all that was decided of it."""

from typing import NamedTuple

from . import desired_state
from . import dialect
from . import http_server
from . import outcomes
from . import urgency_ranks


class Exchange(NamedTuple):
    """A request that may be served: route, organisation and deadline.

    :ivar ends_at: monotonic time at which the caller gets a final answer.
    :ivar urgencies: of the service's routes, empty if they are all the same.
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
        """Rank of the request; the organisation's goes before the route's."""
        if self.organisation and self.organisation.urgency is not None:
            return self.organisation.urgency
        return self.route.urgency

    @property
    def sent_urgency(self) -> int | None:
        """Urgency that targets are told, ``None`` where it doesn't differ."""
        if self.service.engine is None or not self.urgencies:
            return None
        return min(max(self.urgency, 0), urgency_ranks.MAX_RANKS - 1)


class RequestRefused(Exception):
    """Ends a request with an answer of our own.

    :ivar has_run: whether a target may have run the request.
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
    """Ends a request with the last answer that a target gave."""

    def __init__(self, answer: outcomes.CompleteResponse) -> None:
        super().__init__(f'status {answer.head.status}')
        self.response = answer


class StreamAborted(Exception):
    """Ends a stream that has begun and can't be completed."""

    def __init__(self, refusal: outcomes.Refusal) -> None:
        super().__init__(refusal)
        self.refusal = refusal
