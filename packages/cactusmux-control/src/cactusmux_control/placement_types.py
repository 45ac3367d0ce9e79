"""Input and output types of placement."""

from collections.abc import Mapping
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_platform import targets

from . import documents

Holdings = tuple[targets.Holding, ...]


class PoolTarget(NamedTuple):
    """A target that may hold layers.

    ``memory_mb`` is the total of its accelerators. ``speed`` is the MB of
    weights that it applies to tokens per second; only the ratio between
    targets matters.
    """

    address: str
    region: str
    zone: str
    accelerator: str
    memory_mb: int
    speed: float


class Variant(NamedTuple):
    """A model version with a set of adapters; its copies are equivalent."""

    model: str
    version: str
    adapters: tuple[str, ...]


class ModelDemand(NamedTuple):
    """A model requested by a service's document."""

    service: str
    name: str
    model: documents.Model

    @property
    def variant(self) -> Variant:
        """The variant requested by the document."""
        return Variant(self.name, self.model.version, self.model.adapters)

    @property
    def copy_mb(self) -> int:
        """The size of one copy's weights, in MB."""
        return self.model.layers * self.model.layer_mb


class CopyRange(NamedTuple):
    """Permitted numbers of copies of a model; no change within the range.

    Below ``floor``, copies of other models are dropped to make room.
    """

    low: int
    high: int
    floor: int


class Limits(NamedTuple):
    """Limits of placement.

    ``usable_memory`` is the fraction of a target's memory for weights; the
    rest is for caches. ``headroom`` is the fraction of the usable memory
    kept free for repair and new versions. ``hysteresis`` is the change in
    pool size that moves no copies. ``max_changes`` limits the targets that
    change per round, except for models with fewer copies than their
    document's minimum.
    """

    usable_memory: float = 0.8
    headroom: float = 0.1
    hysteresis: float = 0.05
    max_changes: int = 64


class Situation(NamedTuple):
    """The complete input of one round of placement.

    ``pool`` contains the targets that are neither dead nor leaving.
    ``intended_by_address`` has their holdings in the previous plan,
    ``reported_by_address`` their reported holdings. ``pinned`` targets keep
    their intended holdings regardless of other changes.
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
    """A version doesn't fit in memory beside the version in service."""

    reason = 'version_without_room'

    def __init__(self, model: str, version: str) -> None:
        super().__init__(
            f'model {model!r}: no room for version {version!r} beside the '
            f'one that serves'
        )
        self.model = model
        self.version = version


class NameTaken(failures.CactusmuxError):
    """Two services request models under the same name."""

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
    """The exact holdings planned for each target of the pool.

    ``urgent`` contains the targets whose loads bring a model to its minimum.
    """

    holdings_by_address: dict[str, Holdings]
    urgent: frozenset[str]
    shortfalls: tuple[failures.CactusmuxError, ...]
