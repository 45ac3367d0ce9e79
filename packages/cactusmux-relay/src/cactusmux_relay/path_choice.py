"""Chooses the path of a request by what is known of each stage's load.

It answers a steady load near the room of the fastest paths: the price of a
stage grows exponentially with the share of its memory in use, so that slow
paths take over before fast ones refuse, and a target without room for the
request isn't chosen at all.
"""

from collections.abc import Iterable, Mapping
import math
from typing import NamedTuple

from . import cost_model
from . import segments

# A stage at full memory costs e^4 = 55 times as much as an idle one.
PRICE_GROWTH = 4.0
# Reports and estimates lag: this share of memory is left free.
FILL_LIMIT = 0.92


class Demand(NamedTuple):
    """What a request will need: tokens of its prompt and of its answer."""

    prompt_tokens: float
    answer_tokens: float

    @property
    def tokens(self) -> float:
        """Returns the memory at its largest, in tokens."""
        return self.prompt_tokens + self.answer_tokens


def choose(
    graph: segments.SegmentGraph,
    demand: Demand,
    used_by_target: Mapping[str, float],
    excluded: Iterable[str] = (),
) -> cost_model.Path | None:
    """Returns the cheapest path with room, ``None`` if there is none.

    :param used_by_target: tokens in use by target id.
    :param excluded: ids of targets that are not to be used.
    """
    without = frozenset(excluded)

    def price(segment: segments.Segment) -> float | None:
        target_id = segment.target.id
        if target_id in without:
            return None
        used = used_by_target.get(target_id, 0.0)
        if used + demand.tokens > segment.room * FILL_LIMIT:
            return None
        return segment.idle_ms * math.exp(PRICE_GROWTH * used / segment.room)

    return graph.cheapest(price)
