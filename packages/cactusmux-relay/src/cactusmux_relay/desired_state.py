"""What the operator wants: routes, services, organisations and limits."""

import enum
from typing import NamedTuple


class RequestKind(enum.StrEnum):
    """What may be repeated of the requests of a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class WeightedService(NamedTuple):
    """A service that gets ``weight`` parts of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """A route; times in seconds.

    :ivar prefix: of the path, with a slash at both ends.
    :ivar timeout_s: longest time that a caller is kept waiting.
    :ivar objective_s: time to an answer, or to a stream's first event.
    :ivar gap_s: longest pause between events of a stream.
    :ivar urgency: rank among routes, 0 first.
    :ivar max_attempts: targets that one request may be sent to.
    :ivar is_open: requests need no key.
    :ivar can_resume: a broken stream may go on at another target.
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
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.can_resume
        return self.kind is RequestKind.SAFE


class Card(NamedTuple):
    """A kind of accelerator; the paces multiply the engine's times."""

    name: str
    memory_mb: float
    step_pace: float
    read_pace: float


class Engine(NamedTuple):
    """Published costs of a service of model engines.

    :ivar layers: of the model, and ``layer_mb`` the size of each.
    :ivar token_mb: memory of one token over all layers.
    :ivar step_ms: of one token step through all layers, to which each
        writing request adds ``per_sequence_ms`` and each 1,000 tokens of
        their contexts ``per_context_k_ms``.
    :ivar read_tokens_per_s: prompt tokens read through all layers.
    :ivar usual_prompt: mean tokens of a prompt, and ``usual_answer`` of an
        answer.
    :ivar load_s: to load all layers.
    :ivar pipe_tokens_per_s: that one pipe between two zones carries.
    :ivar event_tokens: in one event of a stream.
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
    """Bounds on what a caller may send, and on how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Organisation(NamedTuple):
    """A customer; its urgency, if it has one, goes before a route's."""

    name: str
    urgency: int | None


class DesiredState(NamedTuple):
    """One version of all that the operator wants."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service]
    organisation_by_key: dict[str, Organisation]
    needs_keys: bool
    limits: Limits
