"""Targets as they describe themselves, and the layers that they hold."""

from typing import NamedTuple


class LayerRange(NamedTuple):
    """Half-open range of layers: ``first`` inclusive, ``end`` exclusive."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: 'LayerRange') -> bool:
        """Whether this range contains all layers of another range."""
        return self.first <= other.first and other.end <= self.end


NO_LAYERS = LayerRange(0, 0)


class Start(NamedTuple):
    """Identifies one start of a target."""

    target_id: str
    born_ms: int


class Target(NamedTuple):
    """One start of a target.

    :ivar id: id that requests to ``address`` expect to find there.
    :ivar born_ms: start time in Unix milliseconds; a target may restart under
        the same id.
    :ivar is_leaving: whether it gets no new work.
    :ivar card: name of its accelerator type, empty for plain services.
    :ivar layers: the layers that it holds and can run now.
    :ivar order_number: number of the orders that it has begun.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    born_ms: int
    card: str = ''
    layers: LayerRange = NO_LAYERS
    order_number: int = 0

    @property
    def start(self) -> Start:
        """Returns the key that distinguishes this start of the target."""
        return Start(self.id, self.born_ms)

    def retains_state_of(self, earlier: 'Target') -> bool:
        """Whether work can continue: same start, no layers released."""
        return self.start == earlier.start and (
            self.layers.covers(earlier.layers)
        )
