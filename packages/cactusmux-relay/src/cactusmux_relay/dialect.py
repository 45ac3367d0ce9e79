"""What requests and answers say, apart from how a deployment spells it."""

import abc
from typing import NamedTuple

from cactusmux_base import failures

from . import cost_model
from . import http_server
from . import target_calls


class MalformedRequest(failures.CactusmuxError):
    """A header that can't be understood."""

    reason = 'malformed_request'

    def __init__(self, name: str, value: str) -> None:
        super().__init__(f'header {name!r} has value {value!r}')
        self.name = name
        self.value = value


class RequestFacts(NamedTuple):
    """What a caller says of its request.

    :ivar request_id: unique a try of a caller.
    :ivar wait_s: how long the caller waits, ``None`` if it doesn't say.
    :ivar key: of its organisation, ``None`` without one.
    :ivar prompt_id: the same at each try of one request, empty without one.
    :ivar prompt_tokens: in the prompt, 0 where the request has none.
    :ivar most_answer_tokens: bound on the answer.
    :ivar hinted_answer_tokens: the caller's estimate, ``None`` without one.
    :ivar last_event_id: after which a stream is to go on.
    :ivar passed_headers: that go on to the target unchanged.
    """

    request_id: str
    host: str
    wait_s: float | None
    key: str | None
    prompt_id: str
    prompt_tokens: float
    most_answer_tokens: float
    hinted_answer_tokens: float | None
    last_event_id: int | None
    passed_headers: http_server.Headers


class TargetRequestFacts(NamedTuple):
    """What goes with a request to one target.

    :ivar target_id: any other target refuses the request.
    :ivar left_s: time that the target may use.
    :ivar path: stages that the request runs through, empty for plain ones.
    :ivar urgency: 0 first, ``None`` for the target's default.
    """

    target_id: str
    organisation: str | None
    left_s: float
    path: cost_model.Path
    urgency: int | None
    last_event_id: int | None


class ResponseFacts(NamedTuple):
    """What a target says with its answer.

    :ivar request_id: of the request that it answers, ``None`` if unsaid.
    :ivar is_signed: it bears the target's signature.
    :ivar not_run: the target didn't and won't run the request.
    :ivar at_fault: address of the target that is the cause.
    :ivar is_encoded: the body isn't the target's own bytes.
    :ivar retry_after_s: for so long the target, which turned the request
        away, wants nothing more from us; ``None`` if unsaid.
    :ivar is_leaving: the target gets no new work.
    """

    request_id: str | None
    is_signed: bool
    not_run: bool
    at_fault: str | None
    is_encoded: bool
    is_leaving: bool
    retry_after_s: float | None = None


class Dialect(abc.ABC):
    """Reads and writes headers as a deployment spells them."""

    @abc.abstractmethod
    def request_facts(self, request: http_server.Request) -> RequestFacts:
        """Reads a request's headers; raises :class:`MalformedRequest`."""

    @abc.abstractmethod
    def target_headers(
        self, facts: RequestFacts, sending: TargetRequestFacts
    ) -> http_server.Headers:
        """Returns all headers of the request to a target, without framing."""

    @abc.abstractmethod
    def response_facts(self, head: target_calls.ResponseHead) -> ResponseFacts:
        """Reads the headers of an answer."""

    @abc.abstractmethod
    def caller_headers(
        self, head: target_calls.ResponseHead
    ) -> http_server.Headers:
        """Returns the headers of an answer that the caller gets."""

    @abc.abstractmethod
    def refusal_headers(
        self, facts: RequestFacts | None, retry_after_s: float | None
    ) -> http_server.Headers:
        """Returns the headers of an answer of our own."""
