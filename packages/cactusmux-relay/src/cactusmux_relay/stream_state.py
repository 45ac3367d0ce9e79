"""State of one stream over all its attempts."""

from . import admission_ticket
from . import context
from . import cost_model
from . import event_forwarding
from . import outcomes
from . import path_choice
from . import prompt_parts
from . import refused_callers
from . import stream_parts


class StreamState:
    """State of one stream over all its attempts.

    :ivar caller_key: identifies a refused request when the caller sends it
        again; ``None`` without a prompt id.
    :ivar is_returning: whether the request was refused before.
    :ivar requester: the parts of its prompt, which may be quarantined.
    :ivar avoided: ids of the targets that the next path leaves out.
    :ivar failed_ids: ids of the targets that responded with a failure.
    :ivar last_failure: the last such response.
    :ivar sends: number of sends.
    :ivar runs: number of sends that a target may have run.
    :ivar rejections: number of sends that certainly weren't run.
    :ivar forwarder: forwards events to the caller.
    """

    def __init__(
        self, parts: stream_parts.StreamParts, exchange: context.Exchange
    ) -> None:
        self.exchange = exchange
        self.requester = prompt_parts.requester_of(exchange)
        self.demand = demand_of(exchange)
        self.caller_key = caller_key_of(exchange)
        self.is_returning = parts.refused.is_returning(self.caller_key)
        self.ticket: admission_ticket.Ticket = admission_ticket.UNRANKED_TICKET
        self.avoided: set[str] = set()
        self.failed_ids: set[str] = set()
        self.last_failure: outcomes.CompleteResponse | None = None
        self.sends = 0
        self.runs = 0
        self.rejections = 0
        self.forwarder = event_forwarding.EventForwarder(
            exchange.answerer,
            parts.header_dialect,
            parts.timer,
            exchange.facts.last_event_id,
        )

    def may_resume(self, runs: int) -> bool:
        """Whether another run may follow this number of runs."""
        if runs == 0:
            return True
        route = self.exchange.route
        return route.is_idempotent and runs < route.max_attempts


def caller_key_of(exchange: context.Exchange) -> int | None:
    """Returns the key that identifies a refused request when it returns."""
    organisation = exchange.organisation
    name = organisation.name if organisation else ''
    return refused_callers.request_key(name, exchange.facts.prompt_id)


def expected_duration_s(
    exchange: context.Exchange, demand: path_choice.Demand, pause_ms: float
) -> float:
    """Estimates for how long a stream generates its answer tokens."""
    engine = exchange.service.engine
    tokens_an_event = engine.event_tokens if engine else 1
    pauses = demand.answer_tokens / tokens_an_event
    return pauses * pause_ms / cost_model.MS_PER_S


def demand_of(exchange: context.Exchange) -> path_choice.Demand:
    """Estimates the prompt and answer tokens of a request."""
    facts = exchange.facts
    engine = exchange.service.engine
    answer_tokens = facts.hinted_answer_tokens
    if answer_tokens is None:
        answer_tokens = engine.usual_answer if engine else 0.0
    if facts.most_answer_tokens:
        answer_tokens = min(answer_tokens, facts.most_answer_tokens)
    return path_choice.Demand(
        facts.prompt_tokens, answer_tokens, exchange.route.gap_s
    )
