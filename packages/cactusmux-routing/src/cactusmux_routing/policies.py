"""Route choosers by their name in the settings."""

from collections.abc import Callable
import random

from cactusmux_base import failures
from cactusmux_base import timers
from returns import result

from . import baseline_choosers
from . import choosers
from . import flow_chooser

CHOOSER_BY_NAME: dict[
    str, Callable[[timers.TimerService, random.Random], choosers.RouteChooser]
] = {
    'flow': flow_chooser.FlowChooser,
    'power_of_two': baseline_choosers.PowerOfTwoChooser,
    'predicted_time': baseline_choosers.PredictedTimeChooser,
    'random': baseline_choosers.RandomChooser,
    'round_robin': baseline_choosers.RoundRobinChooser,
    'least_loaded': baseline_choosers.LeastLoadedChooser,
}


class UnknownPolicy(failures.CactusmuxError):
    """No route chooser has this name."""

    reason = 'unknown_policy'

    def __init__(self, name: str) -> None:
        known = ', '.join(sorted(CHOOSER_BY_NAME))
        super().__init__(f'routing policy {name!r} is not one of {known}')
        self.name = name


def make_chooser(
    name: str, timer: timers.TimerService, rng: random.Random
) -> result.Result[choosers.RouteChooser, UnknownPolicy]:
    """Creates the route chooser called ``name``."""
    kind = CHOOSER_BY_NAME.get(name)
    if kind is None:
        return result.Failure(UnknownPolicy(name))
    return result.Success(kind(timer, rng))
