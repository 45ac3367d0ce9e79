"""Input of an experiment: cards, engine costs, requests and disturbances."""

from typing import Literal

from cactusmux_base import decoding
from cactusmux_base import failures
from cactusmux_relay import desired_state
from cactusmux_relay import targets
import msgspec
from returns import result

SERVICE = 'model'


class DeploymentInvalid(failures.CactusmuxError):
    """A deployment file is invalid; the message names the field."""

    reason = 'deployment_invalid'


class CardKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of card and the number of such cards in each zone.

    :ivar step_pace: slowdown factor of decode steps relative to the published
        costs.
    :ivar read_pace: likewise for prefill.
    """

    memory_mb: float
    step_pace: float
    read_pace: float
    count_by_zone: dict[str, int]


class EngineCosts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Published costs, as in :class:`desired_state.Engine`.

    :ivar chunk_tokens: maximum prefill tokens in one pass.
    :ivar crossing_ms: delay of a token between two zones.
    """

    layers: int
    layer_mb: float
    token_mb: float
    step_ms: float
    per_sequence_ms: float
    per_context_k_ms: float
    read_tokens_per_s: float
    load_s: float
    loads_at_once: int
    pipe_tokens_per_s: float
    event_tokens: int
    slots: int
    chunk_tokens: int
    crossing_ms: float


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    :ivar per_s: mean number of requests per second.
    :ivar prompt_tokens: mean length; ``answer_tokens`` likewise.
    :ivar aim_s: limit for the time to the first event of an answer in time;
        ``pause_s`` is the limit between events.
    :ivar late_worth: worth of an answer that is late.
    :ivar rank: rank of its urgency, 0 is the most urgent.
    """

    per_s: float
    prompt_tokens: float
    answer_tokens: float
    aim_s: float
    pause_s: float
    worth: float
    late_worth: float
    rank: int = 0


class Disturbance(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault or change of the cards of one kind, or of the request rate.

    :ivar at_s: time since the start.
    :ivar zone: affected zone, any if empty.
    :ivar for_s: duration; lost cards do not return by themselves.
    :ivar times: slowdown factor of ``slow``, or rate factor of ``burst``.
    :ivar request: request kind of a burst, all kinds if empty.
    """

    kind: Literal['lose', 'slow', 'add', 'burst']
    at_s: float
    card: str = ''
    zone: str = ''
    count: int = 1
    for_s: float = 0.0
    times: float = 1.0
    request: str = ''


class Deployment(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A complete experiment.

    :ivar instances: number of router instances.
    :ivar news_s: interval at which instances exchange their loads.
    :ivar length_s: simulated time during which requests are sent.
    """

    engine: EngineCosts
    card_by_kind: dict[str, CardKind]
    request_by_kind: dict[str, RequestKind]
    instances: int
    news_s: float
    length_s: float
    disturbances: tuple[Disturbance, ...] = ()


def read(data: bytes) -> result.Result[Deployment, DeploymentInvalid]:
    """Decodes and validates a deployment file, which is JSON."""
    try:
        deployment = decoding.from_json(data, type=Deployment)
    except decoding.Unreadable as error:
        return result.Failure(DeploymentInvalid(str(error)))
    fault = _find_fault(deployment)
    if fault:
        return result.Failure(DeploymentInvalid(fault))
    return result.Success(deployment)


def _find_fault(deployment: Deployment) -> str:
    if deployment.instances < 1:
        return '`instances` is less than 1'
    if deployment.length_s <= 0:
        return '`length_s` is not greater than 0'
    for name, kind in deployment.request_by_kind.items():
        if (
            kind.per_s <= 0
            or kind.answer_tokens < deployment.engine.event_tokens
        ):
            return (
                f'request kind {name!r}: `per_s` must be greater than 0 '
                'and `answer_tokens` at least `event_tokens`'
            )
    for place, each in enumerate(deployment.disturbances):
        known = each.kind == 'burst' or each.card in deployment.card_by_kind
        if not known:
            return f'`disturbances[{place}]`: unknown card {each.card!r}'
    return ''


def make_engine(deployment: Deployment) -> desired_state.Engine:
    """Returns the costs in the form used by the router's planner."""
    costs = deployment.engine
    kinds = deployment.request_by_kind.values()
    total = sum(each.per_s for each in kinds)
    prompt = sum(each.per_s * each.prompt_tokens for each in kinds) / total
    answer = sum(each.per_s * each.answer_tokens for each in kinds) / total
    return desired_state.Engine(
        slots=costs.slots,
        layers=costs.layers,
        layer_mb=costs.layer_mb,
        token_mb=costs.token_mb,
        step_ms=costs.step_ms,
        per_sequence_ms=costs.per_sequence_ms,
        per_context_k_ms=costs.per_context_k_ms,
        read_tokens_per_s=costs.read_tokens_per_s,
        usual_prompt=prompt,
        usual_answer=answer,
        load_s=costs.load_s,
        pipe_tokens_per_s=costs.pipe_tokens_per_s,
        event_tokens=costs.event_tokens,
        loads_at_once=costs.loads_at_once,
        card_by_name={
            name: desired_state.Card(
                name, each.memory_mb, each.step_pace, each.read_pace
            )
            for name, each in deployment.card_by_kind.items()
        },
    )


def initial_targets(deployment: Deployment) -> list[targets.Target]:
    """Returns the targets at the start; they hold no layers."""
    members = []
    for name, kind in deployment.card_by_kind.items():
        for zone, count in kind.count_by_zone.items():
            for number in range(count):
                target_id = f'{name}-{zone}-{number + 1}'
                members.append(new_target(deployment, target_id, name, zone))
    return members


def new_target(
    deployment: Deployment, target_id: str, card: str, zone: str
) -> targets.Target:
    """Returns a target without layers."""
    return targets.Target(
        id=target_id,
        service=SERVICE,
        address=target_id,
        zone=zone,
        slots=deployment.engine.slots,
        is_leaving=False,
        born_ms=0,
        card=card,
    )
