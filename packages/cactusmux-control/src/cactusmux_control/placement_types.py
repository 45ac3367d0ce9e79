"""What placement decides from, and what it decides."""

from collections.abc import Mapping
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_platform import targets

from . import documents

Holdings = tuple[targets.Holding, ...]


class PoolTarget(NamedTuple):
    """A target that may hold layers.

    ``memory_mb`` is what all of its accelerators hold together. ``speed``
    is the MB of weights that it runs a token through, a second; only its
    ratio to other targets matters.
    """

    address: str
    region: str
    zone: str
    accelerator: str
    memory_mb: int
    speed: float


class Variant(NamedTuple):
    """A model version with a set of adapters; copies of it are alike."""

    model: str
    version: str
    adapters: tuple[str, ...]


class ModelDemand(NamedTuple):
    """A model that a service's document asks for."""

    service: str
    name: str
    model: documents.Model

    @property
    def variant(self) -> Variant:
        """The variant that the document asks for."""
        return Variant(self.name, self.model.version, self.model.adapters)

    @property
    def copy_mb(self) -> int:
        """The weight of one copy, in MB."""
        return self.model.layers * self.model.layer_mb


class CopyRange(NamedTuple):
    """How many copies of a model may stay: no move within the range.

    Below ``floor`` copies of other services give way.
    """

    low: int
    high: int
    floor: int


class Limits(NamedTuple):
    """Bounds of placement.

    ``usable_memory`` is the part of a target's memory for weights; the
    rest is left to caches. ``headroom`` is the part of that which is kept
    free for repair and for new versions. ``hysteresis`` is how far the
    pool's size may move without a move of copies. ``max_changes`` bounds
    the targets that change in one round, except for models that have fewer
    copies than their document's minimum.
    """

    usable_memory: float = 0.8
    headroom: float = 0.1
    hysteresis: float = 0.05
    max_changes: int = 64


class Situation(NamedTuple):
    """All that one round of placement decides from.

    ``pool`` are the targets that are neither dead nor leaving.
    ``intended_by_address`` is what the former plan had them hold,
    ``reported_by_address`` what they say they hold. ``pinned`` targets keep
    what they were meant to hold, whatever else changes.
    """

    service_documents: tuple[documents.ServiceDocument, ...]
    pool: tuple[PoolTarget, ...]
    intended_by_address: Mapping[str, Holdings]
    reported_by_address: Mapping[str, Holdings]
    pinned: frozenset[str] = frozenset()


class CopiesMissing(failures.CactusmuxError):
    """A model has fewer copies than its document's minimum."""

    reason = 'copies_missing'

    def __init__(self, model: str, copies: int, minimum: int) -> None:
        super().__init__(
            f'model {model!r}: room for {copies} of {minimum} copies'
        )
        self.model = model
        self.copies = copies
        self.minimum = minimum


class VersionWithoutRoom(failures.CactusmuxError):
    """A version can't be loaded beside the one that serves."""

    reason = 'version_without_room'

    def __init__(self, model: str, version: str) -> None:
        super().__init__(
            f'model {model!r}: no room for version {version!r} beside the '
            f'one that serves'
        )
        self.model = model
        self.version = version


class NameTaken(failures.CactusmuxError):
    """Two services ask for different models by one name."""

    reason = 'model_name_taken'

    def __init__(self, model: str, service: str, owner: str) -> None:
        super().__init__(
            f'model {model!r} of service {service!r} is already one of '
            f'service {owner!r}'
        )
        self.model = model
        self.service = service
        self.owner = owner


class Plan(NamedTuple):
    """What each target of the pool is to hold, exactly.

    ``urgent`` are the targets whose loads bring a model to its minimum.
    """

    holdings_by_address: dict[str, Holdings]
    urgent: frozenset[str]
    shortfalls: tuple[failures.CactusmuxError, ...]
