"""What an experiment plays: cards, costs, requests and disturbances."""

from typing import Literal

from cactusmux_base import failures
from cactusmux_relay import desired_state
from cactusmux_relay import targets
import msgspec
from returns import result

SERVICE = 'model'


class DeploymentInvalid(failures.CactusmuxError):
    """A deployment file can't be played; the message names the field."""

    reason = 'deployment_invalid'


class CardKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of card and how many of them lie in each zone.

    :ivar step_pace: times slower than the published step.
    :ivar read_pace: likewise for reading prompts.
    """

    memory_mb: float
    step_pace: float
    read_pace: float
    count_by_zone: dict[str, int]


class EngineCosts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Published costs, as in :class:`desired.Engine`.

    :ivar chunk_tokens: read at most in one pass.
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

    :ivar per_s: mean number a second.
    :ivar prompt_tokens: mean, and ``answer_tokens`` likewise.
    :ivar aim_s: to the first event, and ``pause_s`` between events, for an
        answer in time.
    :ivar late_worth: of an answer that is late.
    :ivar rank: of its urgency, 0 first.
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
    """Something that happens to cards of one kind.

    :ivar at_s: from the start.
    :ivar zone: where, anywhere if empty.
    :ivar for_s: how long; lost cards don't return by themselves.
    :ivar times: slower, of ``slow``; times the load, of ``burst``.
    :ivar request: kind that a burst is of, all if empty.
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
    """All that an experiment plays.

    :ivar instances: of the router.
    :ivar news_s: age at which instances learn of each other's load.
    :ivar length_s: of the play.
    """

    engine: EngineCosts
    card_by_kind: dict[str, CardKind]
    request_by_kind: dict[str, RequestKind]
    instances: int
    news_s: float
    length_s: float
    disturbances: tuple[Disturbance, ...] = ()


def read(data: bytes) -> result.Result[Deployment, DeploymentInvalid]:
    """Decodes and checks a deployment file, which is JSON."""
    try:
        found = msgspec.json.decode(data, type=Deployment)
    except msgspec.MsgspecError as error:
        return result.Failure(DeploymentInvalid(str(error)))
    fault = _fault(found)
    if fault:
        return result.Failure(DeploymentInvalid(fault))
    return result.Success(found)


def _fault(found: Deployment) -> str:
    if found.instances < 1:
        return '`instances` is under 1'
    if found.length_s <= 0:
        return '`length_s` is not over 0'
    for name, kind in found.request_by_kind.items():
        if kind.per_s <= 0 or kind.answer_tokens < found.engine.event_tokens:
            return f'request kind {name!r} asks for nothing'
    for place, each in enumerate(found.disturbances):
        known = each.kind == 'burst' or each.card in found.card_by_kind
        if not known:
            return f'`disturbances[{place}]`: unknown card {each.card!r}'
    return ''


def make_engine(found: Deployment) -> desired_state.Engine:
    """Returns the costs as the router's own planner takes them."""
    costs = found.engine
    kinds = found.request_by_kind.values()
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
            for name, each in found.card_by_kind.items()
        },
    )


def initial_targets(found: Deployment) -> list[targets.Target]:
    """Returns the targets at the start; they hold no layers."""
    members = []
    for name, kind in found.card_by_kind.items():
        for zone, count in kind.count_by_zone.items():
            for number in range(count):
                target_id = f'{name}-{zone}-{number + 1}'
                members.append(new_target(found, target_id, name, zone))
    return members


def new_target(
    found: Deployment, target_id: str, card: str, zone: str
) -> targets.Target:
    """Returns a target without layers."""
    return targets.Target(
        id=target_id,
        service=SERVICE,
        address=target_id,
        zone=zone,
        slots=found.engine.slots,
        is_leaving=False,
        born_ms=0,
        card=card,
    )
