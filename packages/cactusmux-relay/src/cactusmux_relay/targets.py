"""Targets as they say of themselves, and the layers that they hold."""

from typing import NamedTuple


class LayerRange(NamedTuple):
    """Layers from ``first`` up to, but without, ``end``."""

    first: int
    end: int

    @property
    def size(self) -> int:
        """Number of layers."""
        return self.end - self.first

    def covers(self, other: 'LayerRange') -> bool:
        """Whether all layers of another range are among these."""
        return self.first <= other.first and other.end <= self.end


NO_LAYERS = LayerRange(0, 0)


class Start(NamedTuple):
    """Which target, and which of its starts."""

    target_id: str
    born_ms: int


class Target(NamedTuple):
    """One start of a target.

    :ivar id: expected by requests that are sent to ``address``.
    :ivar born_ms: time of its start, Unix milliseconds; a target may start
        again under its id.
    :ivar is_leaving: it gets no new work.
    :ivar card: name of its kind of accelerator, empty for plain services.
    :ivar layers: that it holds and can run now.
    :ivar order_number: count of the orders that it has begun.
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
        """Returns what tells this start from others of the target."""
        return Start(self.id, self.born_ms)

    def retains_state_of(self, earlier: 'Target') -> bool:
        """Whether what ran here earlier can go on: the start, the layers."""
        return self.start == earlier.start and (
            self.layers.covers(earlier.layers)
        )
