"""What is known of one stream over all its attempts."""

from . import admission_ticket
from . import context
from . import cost_model
from . import event_passing
from . import outcomes
from . import path_choice
from . import refused_callers
from . import stream_parts


class StreamState:
    """One request, what was tried for it and what it met.

    :ivar caller: by what a refused request is recognised when it returns.
    :ivar is_returning: whether it was refused before.
    :ivar avoided: ids of the targets that its next path leaves out.
    :ivar failed_ids: ids of the targets that answered with a failure.
    :ivar failed: the last such answer.
    :ivar sends: how often it was sent.
    :ivar runs: how often a target may have run it.
    :ivar rejections: how often a target certainly didn't.
    :ivar passing: what its caller has got so far.
    """

    def __init__(
        self, parts: stream_parts.StreamParts, exchange: context.Exchange
    ) -> None:
        self.exchange = exchange
        self.demand = demand_of(exchange)
        self.caller_key = caller_of(exchange)
        self.is_returning = parts.refused.is_returning(self.caller_key)
        self.ticket: admission_ticket.Ticket = admission_ticket.UNRANKED_TICKET
        self.avoided: set[str] = set()
        self.failed_ids: set[str] = set()
        self.last_failure: outcomes.CompleteResponse | None = None
        self.sends = 0
        self.runs = 0
        self.rejections = 0
        self.forwarder = event_passing.EventForwarder(
            exchange.answerer,
            parts.header_dialect,
            parts.timer,
            exchange.facts.last_event_id,
        )

    def may_resume(self, runs: int) -> bool:
        """Whether one more run may follow so many."""
        if runs == 0:
            return True
        route = self.exchange.route
        return route.is_idempotent and runs < route.max_attempts


def caller_of(exchange: context.Exchange) -> int | None:
    """Returns by what a refused request is recognised when it returns."""
    organisation = exchange.organisation
    name = organisation.name if organisation else ''
    return refused_callers.request_key(name, exchange.facts.prompt_id)


def expected_s(
    exchange: context.Exchange, demand: path_choice.Demand, pause_ms: float
) -> float:
    """Returns for about how long a stream writes its answer."""
    engine = exchange.service.engine
    tokens_an_event = engine.event_tokens if engine else 1
    pauses = demand.answer_tokens / tokens_an_event
    return pauses * pause_ms / cost_model.MS_PER_S


def demand_of(exchange: context.Exchange) -> path_choice.Demand:
    """Returns what a request will need, as far as it is known."""
    facts = exchange.facts
    engine = exchange.service.engine
    answer = facts.hinted_answer_tokens
    if answer is None:
        answer = engine.usual_answer if engine else 0.0
    if facts.most_answer_tokens:
        answer = min(answer, facts.most_answer_tokens)
    return path_choice.Demand(
        facts.prompt_tokens, answer, exchange.route.gap_s
    )
