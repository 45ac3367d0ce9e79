"""Ways to choose a path, to be compared with each other."""

import abc
from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_relay import cost_model
from cactusmux_relay import desired_state
from cactusmux_relay import path_choice
from cactusmux_relay import segments
from returns import result

# Like the router's own, in seconds.
ROOM_WAIT_S = 0.05
RETURNING_ROOM_WAIT_S = 1.0
# Twice the idle time at a quarter of the room.
FILLING_GROWTH = 4.0


class UnknownPolicy(failures.CactusmuxError):
    """No policy has that name."""

    reason = 'unknown_policy'


class PathRequest(NamedTuple):
    """What a path is chosen by.

    :ivar load: as an instance of the router believes it to be.
    :ivar excluded: ids of targets that are not to be used.
    :ivar pipe_limit: share of a pipe in use up to which paths cross it.
    :ivar draw: gives the exponent by which a target's price is changed.
    """

    engine: desired_state.Engine
    graph: segments.SegmentGraph
    demand: path_choice.Demand
    load: path_choice.Load
    excluded: frozenset[str]
    pipe_limit: float
    draw: Callable[[], float]


class PathPolicy(abc.ABC):
    """Chooses paths, and says how long a request waits for one."""

    room_wait_s = ROOM_WAIT_S
    returning_room_wait_s = RETURNING_ROOM_WAIT_S
    # Whether requests are admitted by urgency before a path is looked for.
    is_gated = False

    @abc.abstractmethod
    def choose(self, asked: PathRequest) -> cost_model.Path | None:
        """Returns a path, ``None`` if the request is to wait."""


class Marginal(PathPolicy):
    """The router's own choice: the time taken from all requests."""

    def choose(self, asked: PathRequest) -> cost_model.Path | None:
        return path_choice.choose(*asked).path


class Competing(Marginal):
    """The router's own choice, where kinds differ in urgency."""

    is_gated = True


class Impatient(Marginal):
    """The router's own choice without precedence for who returns."""

    returning_room_wait_s = ROOM_WAIT_S


class Unspread(Marginal):
    """The router's own choice, alike on all instances that know the same."""

    def choose(self, asked: PathRequest) -> cost_model.Path | None:
        return super().choose(asked._replace(draw=lambda: 0.0))


class FreeCrossing(Marginal):
    """The router's own choice, with pipes used up to half at once."""

    def choose(self, asked: PathRequest) -> cost_model.Path | None:
        loose = asked._replace(pipe_limit=path_choice.LAST_RESORT_PIPE_LIMIT)
        return super().choose(loose)


class LeastFilled(PathPolicy):
    """Idle time, growing with the share of memory in use."""

    def choose(self, asked: PathRequest) -> cost_model.Path | None:
        def price(segment: segments.Segment) -> float | None:
            target_id = segment.target.id
            used = asked.load.tokens_by_target.get(target_id, 0.0)
            is_full = used + asked.demand.tokens > segment.room
            if target_id in asked.excluded or is_full:
                return None
            filling = used / segment.room
            return segment.idle_ms * (1.0 + FILLING_GROWTH * filling)

        return asked.graph.cheapest(price, _no_crossing_price)


class Shortest(PathPolicy):
    """The path that is fastest when idle, whatever its load."""

    def choose(self, asked: PathRequest) -> cost_model.Path | None:
        def price(segment: segments.Segment) -> float | None:
            if segment.target.id in asked.excluded:
                return None
            return segment.idle_ms

        return asked.graph.cheapest(price, _no_crossing_price)


def _no_crossing_price(_zone: str, _other: str) -> float:
    return 0.0


CLASS_BY_NAME: dict[str, type[PathPolicy]] = {
    'marginal': Marginal,
    'competing': Competing,
    'impatient': Impatient,
    'unspread': Unspread,
    'free_crossing': FreeCrossing,
    'least_filled': LeastFilled,
    'shortest': Shortest,
}


def by_name(name: str) -> result.Result[PathPolicy, UnknownPolicy]:
    """Returns a new policy of that name."""
    found = CLASS_BY_NAME.get(name)
    if found is None:
        known = ', '.join(CLASS_BY_NAME)
        return result.Failure(
            UnknownPolicy(f'unknown policy {name!r}; one of: {known}')
        )
    return result.Success(found())
