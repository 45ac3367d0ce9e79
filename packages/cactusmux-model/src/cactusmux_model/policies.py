"""Path selection policies to be compared in experiments."""

import abc
from collections.abc import Callable
from typing import NamedTuple

from cactusmux_base import failures
from cactusmux_relay import cost_model
from cactusmux_relay import desired_state
from cactusmux_relay import path_choice
from cactusmux_relay import segments
from returns import result

# Same values as in the router, in seconds.
ROOM_WAIT_S = 0.05
RETURNING_ROOM_WAIT_S = 1.0
# Doubles the idle time at a quarter of the KV cache capacity.
KV_CACHE_PENALTY = 4.0


class UnknownPolicy(failures.CactusmuxError):
    """No policy has this name."""

    reason = 'unknown_policy'


class PathRequest(NamedTuple):
    """The input for the choice of a path.

    :ivar load: loads as known to a router instance.
    :ivar excluded: ids of targets that must not be used.
    :ivar pipe_limit: share of a pipe in use up to which paths may cross it.
    :ivar draw: returns the exponent by which a target's price is varied.
    """

    engine: desired_state.Engine
    graph: segments.SegmentGraph
    demand: path_choice.Demand
    load: path_choice.Load
    excluded: frozenset[str]
    pipe_limit: float
    draw: Callable[[], float]


class PathPolicy(abc.ABC):
    """Chooses paths and defines how long a request waits for one."""

    room_wait_s = ROOM_WAIT_S
    returning_room_wait_s = RETURNING_ROOM_WAIT_S
    # Whether requests pass admission by urgency before a path is chosen.
    is_gated = False

    @abc.abstractmethod
    def choose(self, request: PathRequest) -> cost_model.Path | None:
        """Returns a path, or ``None`` if the request has to wait."""


class Marginal(PathPolicy):
    """The router's policy: the marginal time cost to all requests."""

    def choose(self, request: PathRequest) -> cost_model.Path | None:
        return path_choice.choose(*request).path


class Competing(Marginal):
    """The router's policy with admission by urgency."""

    is_gated = True


class Impatient(Marginal):
    """The router's policy without precedence for returning requests."""

    returning_room_wait_s = ROOM_WAIT_S


class Unspread(Marginal):
    """The router's policy without random variation between instances."""

    def choose(self, request: PathRequest) -> cost_model.Path | None:
        return super().choose(request._replace(draw=lambda: 0.0))


class FreeCrossing(Marginal):
    """The router's policy with pipes filled up to half from the start."""

    def choose(self, request: PathRequest) -> cost_model.Path | None:
        relaxed = request._replace(
            pipe_limit=path_choice.LAST_RESORT_PIPE_LIMIT
        )
        return super().choose(relaxed)


class LeastFilled(PathPolicy):
    """Idle time, increased by the share of KV cache in use."""

    def choose(self, request: PathRequest) -> cost_model.Path | None:
        def price(segment: segments.Segment) -> float | None:
            target_id = segment.target.id
            used = request.load.tokens_by_target.get(target_id, 0.0)
            is_full = used + request.demand.tokens > segment.room
            if target_id in request.excluded or is_full:
                return None
            used_share = used / segment.room
            return segment.idle_ms * (1.0 + KV_CACHE_PENALTY * used_share)

        return request.graph.cheapest(price, _no_crossing_price)


class Shortest(PathPolicy):
    """The path that is fastest when idle, regardless of load."""

    def choose(self, request: PathRequest) -> cost_model.Path | None:
        def price(segment: segments.Segment) -> float | None:
            if segment.target.id in request.excluded:
                return None
            return segment.idle_ms

        return request.graph.cheapest(price, _no_crossing_price)


def _no_crossing_price(_zone: str, _other: str) -> float:
    return 0.0


POLICY_BY_NAME: dict[str, type[PathPolicy]] = {
    'marginal': Marginal,
    'competing': Competing,
    'impatient': Impatient,
    'unspread': Unspread,
    'free_crossing': FreeCrossing,
    'least_filled': LeastFilled,
    'shortest': Shortest,
}


def by_name(name: str) -> result.Result[PathPolicy, UnknownPolicy]:
    """Returns a new policy with this name."""
    found = POLICY_BY_NAME.get(name)
    if found is None:
        known = ', '.join(POLICY_BY_NAME)
        return result.Failure(
            UnknownPolicy(f'unknown policy {name!r}; one of: {known}')
        )
    return result.Success(found())
