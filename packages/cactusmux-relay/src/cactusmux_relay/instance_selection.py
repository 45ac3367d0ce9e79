"""Chooses which instances an answer with addresses names.

It answers zones whose instances are unequal: callers connect at random to one
of the addresses that they are given, so a small instance would get as many
callers as one with ten times its link. Each answer leaves out some of the
small ones, drawn anew, and names all large ones. An instance in trouble isn't
named while most others are well.
"""

from collections.abc import Sequence
import math
import random

from . import membership

# Instances are unequal if one has this share of another's link or processor
# time, or less; up to this share of the largest one's an instance is small.
SMALL_SHARE = 0.5
# So many of the sound instances are named at least: more callers at fewer
# instances would be a load of its own.
LEAST_SHARE = 0.5


def choose(
    candidates: Sequence[membership.Instance],
    troubled: frozenset[str],
    most: int,
    rng: random.Random,
) -> list[membership.Instance]:
    """Returns the instances to name, in the order of the candidates.

    Equal instances are all named, also those in trouble.

    :param troubled: names of instances that say that they are in trouble.
    :param most: how many may be named.
    """
    if not is_uneven(candidates):
        return list(candidates[:most])
    sound = [each for each in candidates if each.name not in troubled]
    if not sound:
        sound = list(candidates)
    least = math.ceil(len(candidates) * LEAST_SHARE)
    if len(sound) < least:
        # What most instances suffer from isn't mended by leaving them out.
        others = [each for each in candidates if each.name in troubled]
        sound += _drawn(others, least - len(sound), rng)
    elif is_uneven(sound):
        sound = _by_capacity(sound, rng)
    if len(sound) > most:
        sound = _drawn(sound, most, rng)
    names = {each.name for each in sound}
    return [each for each in candidates if each.name in names]


def is_uneven(candidates: Sequence[membership.Instance]) -> bool:
    """Whether one has twice another's link or processor time, or more."""
    return any(
        share <= SMALL_SHARE for share in shares_by_name(candidates).values()
    )


def shares_by_name(
    candidates: Sequence[membership.Instance],
) -> dict[str, float]:
    """Returns each one's capacity as a share of the largest one's.

    What an instance doesn't say of itself isn't taken as small.
    """
    widest = max((each.link_mbps for each in candidates), default=0.0)
    fastest = max((each.cores for each in candidates), default=0.0)
    share_by_name = {
        each.name: min(
            _share(each.link_mbps, widest), _share(each.cores, fastest)
        )
        for each in candidates
    }
    largest = max(share_by_name.values(), default=1.0)
    return {name: share / largest for name, share in share_by_name.items()}


def _share(amount: float, largest: float) -> float:
    return amount / largest if amount > 0.0 else 1.0


def _by_capacity(
    sound: list[membership.Instance], rng: random.Random
) -> list[membership.Instance]:
    """Returns all large ones and as many small ones as they weigh."""
    share_by_name = shares_by_name(sound)
    large = [each for each in sound if share_by_name[each.name] > SMALL_SHARE]
    small = [each for each in sound if share_by_name[each.name] <= SMALL_SHARE]
    weight = sum(share_by_name[each.name] for each in small)
    least = math.ceil(len(sound) * LEAST_SHARE) - len(large)
    return large + _drawn(small, max(least, math.ceil(weight)), rng)


def _drawn(
    candidates: list[membership.Instance], count: int, rng: random.Random
) -> list[membership.Instance]:
    """Draws without replacement, by capacity."""
    share_by_name = shares_by_name(candidates)

    def key(each: membership.Instance) -> float:
        # The largest of these are a weighted sample (Efraimidis, Spirakis).
        return rng.random() ** (1.0 / share_by_name[each.name])

    return sorted(candidates, key=key, reverse=True)[:count]
