"""The desired state: an operator's routes, services, organisations, limits."""

import enum
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """Whether and how requests of a route may be repeated."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class WeightedService(NamedTuple):
    """A service and its relative weight in a route's traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route; times in seconds.

    :ivar prefix: path prefix, with a slash at both ends.
    :ivar timeout_s: longest time that a caller is kept waiting.
    :ivar objective_s: target latency of a response, or of a stream's first
        event.
    :ivar gap_s: target for the longest pause between a stream's events.
    :ivar urgency: priority among routes, 0 is the highest.
    :ivar max_attempts: how many targets one request may be sent to.
    :ivar is_open: whether requests are accepted without a key.
    :ivar can_resume: whether a broken stream may be resumed at another
        target.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    gap_s: float
    urgency: int
    max_attempts: int
    is_open: bool
    can_resume: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RequestKind.STREAM:
            return self.can_resume
        return self.kind is RequestKind.SAFE


class Card(NamedTuple):
    """An accelerator type; its paces multiply the engine's times."""

    name: str
    memory_mb: float
    step_pace: float
    read_pace: float


class Engine(NamedTuple):
    """Published costs of a service of model engines.

    :ivar layers: number of layers of the model; each has ``layer_mb``.
    :ivar token_mb: KV cache memory of one token over all layers.
    :ivar step_ms: duration of one decode step through all layers, to which
        each decoding request adds ``per_sequence_ms`` and each 1,000 tokens
        of their contexts ``per_context_k_ms``.
    :ivar read_tokens_per_s: prefill rate of prompt tokens over all layers.
    :ivar usual_prompt: mean number of tokens of a prompt; ``usual_answer``
        is that of an answer.
    :ivar load_s: time to load all layers.
    :ivar pipe_tokens_per_s: capacity of one pipe between two zones.
    :ivar event_tokens: tokens in one event of a stream.
    """

    slots: int
    layers: int
    layer_mb: float
    token_mb: float
    step_ms: float
    per_sequence_ms: float
    per_context_k_ms: float
    read_tokens_per_s: float
    usual_prompt: float
    usual_answer: float
    load_s: float
    pipe_tokens_per_s: float
    event_tokens: int
    loads_at_once: int
    card_by_name: dict[str, Card]


class Service(NamedTuple):
    """A service; ``engine`` is ``None`` for a plain one."""

    name: str
    health_path: str
    connection_limit: int
    engine: Engine | None


class Limits(NamedTuple):
    """Limits on the size and duration of what a caller sends."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Organisation(NamedTuple):
    """A customer; its urgency, if any, overrides that of the route."""

    name: str
    urgency: int | None


class DesiredState(NamedTuple):
    """One version of the complete desired state."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    organisation_by_key: dict[str, Organisation]
    needs_keys: bool
    limits: Limits
