"""Contents of request and response headers, whatever a deployment's format."""

import abc
from typing import NamedTuple

from cactusmux_base import failures

from . import cost_model
from . import event_ids
from . import http_server
from . import target_calls


class MalformedRequest(failures.CactusmuxError):
    """A request header has an invalid value."""

    reason = 'malformed_request'

    def __init__(self, name: str, value: str) -> None:
        super().__init__(f'header {name!r} has the invalid value {value!r}')
        self.name = name
        self.value = value


class RequestFacts(NamedTuple):
    """What the headers of a caller's request say.

    :ivar request_id: unique for each attempt of a caller.
    :ivar wait_s: how long the caller waits, ``None`` if not given.
    :ivar key: API key of the caller's organisation, ``None`` without one.
    :ivar prompt_id: the same at each attempt of one request, empty without
        one.
    :ivar prompt_tokens: tokens in the prompt, 0 without a prompt.
    :ivar most_answer_tokens: upper bound on the answer tokens.
    :ivar hinted_answer_tokens: the caller's estimate, ``None`` without one.
    :ivar last_event_id: id of the event after which a stream resumes.
    :ivar passed_headers: headers that are passed to the target unchanged.
    :ivar shared_parts: ids of the parts of the prompt that other requests may
        share, in order; the last part, the request's own, is left out.
    """

    request_id: str
    host: str
    wait_s: float | None
    key: str | None
    prompt_id: str
    prompt_tokens: float
    most_answer_tokens: float
    hinted_answer_tokens: float | None
    last_event_id: event_ids.EventId | None
    passed_headers: http_server.Headers
    shared_parts: tuple[str, ...] = ()


class TargetRequestFacts(NamedTuple):
    """What the headers of a request to a target say besides the caller's.

    :ivar target_id: any other target refuses the request.
    :ivar left_s: time left until the deadline.
    :ivar path: stages of a stream, empty for plain requests.
    :ivar urgency: 0 is served first, ``None`` for the target's default.
    """

    target_id: str
    organisation: str | None
    left_s: float
    path: cost_model.Path
    urgency: int | None
    last_event_id: event_ids.EventId | None


class RateLimitReading(NamedTuple):
    """What a response says of its target's rate limit.

    :ivar per_s: requests a second that the target accepts from all instances
        together, finite and not negative; ``None`` if it names no limit.
    :ivar unreadable: a value that can't be read, empty if there is none.
    """

    per_s: float | None = None
    unreadable: str = ''


NO_RATE_LIMIT = RateLimitReading()


class ResponseFacts(NamedTuple):
    """What the headers of a target's response say.

    :ivar request_id: id of the request, ``None`` if not given.
    :ivar is_signed: whether it has the target's signature.
    :ivar not_run: the target has not run the request and won't.
    :ivar at_fault: address of the target that is the cause.
    :ivar is_encoded: whether the body has a content encoding, so that it
        isn't the target's own bytes.
    :ivar retry_after_s: how long the target, which rejected the request,
        gets no further requests from this instance; ``None`` if not given.
    :ivar is_leaving: the target is leaving and gets no new work.
    :ivar rate_limit: the rate limit that the target names.
    """

    request_id: str | None
    is_signed: bool
    not_run: bool
    at_fault: str | None
    is_encoded: bool
    is_leaving: bool
    retry_after_s: float | None = None
    rate_limit: RateLimitReading = NO_RATE_LIMIT


class Dialect(abc.ABC):
    """Reads and writes headers in the format of a deployment."""

    @abc.abstractmethod
    def request_id(self, headers: tuple[http_server.Header, ...]) -> str:
        """Returns the id of a request, empty without one; doesn't raise."""

    @abc.abstractmethod
    def request_facts(self, request: http_server.Request) -> RequestFacts:
        """Parses a request's headers; raises :class:`MalformedRequest`."""

    @abc.abstractmethod
    def target_headers(
        self, facts: RequestFacts, sending: TargetRequestFacts
    ) -> http_server.Headers:
        """Returns all headers of a request to a target but the framing."""

    @abc.abstractmethod
    def response_facts(self, head: target_calls.ResponseHead) -> ResponseFacts:
        """Parses the headers of a target's response."""

    @abc.abstractmethod
    def caller_headers(
        self, head: target_calls.ResponseHead
    ) -> http_server.Headers:
        """Returns the headers of a target's response that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(
        self, facts: RequestFacts | None, retry_after_s: float | None
    ) -> http_server.Headers:
        """Returns the headers of a refusal by the relay itself."""
