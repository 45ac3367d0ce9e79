"""Delay between a change and the next watch, depending on the fleet size.

Each change ends the watches of all instances. With many targets and
instances, changes follow each other so closely that almost every one would
cost a call of every instance. In a larger fleet, the delay lets one call
return more changes.
"""

SMALL_FLEET_SIZE = 12
MIN_DELAY_S = 0.2
MAX_DELAY_S = 0.8
DELAY_PER_INSTANCE_S = 0.02


def delay_s(instances: int) -> float:
    """Returns the delay in seconds before the next watch after a change."""
    extra_s = max(0, instances - SMALL_FLEET_SIZE) * DELAY_PER_INSTANCE_S
    return min(MAX_DELAY_S, MIN_DELAY_S + extra_s)
