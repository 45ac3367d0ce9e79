"""How soon a watch is asked again after a change, by the fleet's size.

Each change wakes the watches of all instances. Where targets and instances
are many, their changes follow each other so closely that nearly each one
costs a call of each instance: a larger fleet has more of them brought by one
call.
"""

SMALL_FLEET = 12
SHORTEST_S = 0.2
LONGEST_S = 0.8
S_PER_INSTANCE = 0.02


def batch_s(instances: int) -> float:
    """Returns how long further changes are waited for after one."""
    extra_s = max(0, instances - SMALL_FLEET) * S_PER_INSTANCE
    return min(LONGEST_S, SHORTEST_S + extra_s)
