"""Divides the descriptors of the process among its uses."""

import resource
from typing import NamedTuple

# Addresses besides the entry: readiness, addresses, metrics, copies.
OTHER_LISTENERS = 4
# Upper bound of connections reserved for each of them.
MAX_RESERVED_PER_LISTENER = 32
RESERVED_PER_LISTENER_DIVISOR = 32
# Store, peers, probes, orders and connections being accepted.
MAX_OWN_DESCRIPTORS = 256
MIN_OWN_DESCRIPTORS = 16
OWN_DIVISOR = 8
# Files never take more than this part of a small limit.
FILES_DIVISOR = 3
# A request in service holds its caller's connection and one to a target.
DESCRIPTORS_PER_CALLER = 2
# Limit where the operating system sets none.
MAX_DESCRIPTORS = 65_536


class DescriptorBudget(NamedTuple):
    """Connections that callers may hold.

    :ivar shared: at all listening addresses together, beyond those reserved.
    :ivar reserved_per_listener: reserved for each address but the entry.
    """

    shared: int
    reserved_per_listener: int


def divide(descriptors: int, for_files: int) -> DescriptorBudget:
    """Returns what callers may hold of a limit on descriptors.

    :param for_files: how many of them are kept for files.
    """
    sockets = descriptors - min(for_files, descriptors // FILES_DIVISOR)
    own = min(sockets // OWN_DIVISOR, MAX_OWN_DESCRIPTORS)
    reserved = min(
        sockets // RESERVED_PER_LISTENER_DIVISOR, MAX_RESERVED_PER_LISTENER
    )
    left = sockets - max(own, MIN_OWN_DESCRIPTORS)
    left -= OTHER_LISTENERS * reserved
    return DescriptorBudget(
        max(left // DESCRIPTORS_PER_CALLER, 1), max(reserved, 1)
    )


def limit(configured: int) -> int:
    """Returns the limit on descriptors of this process.

    :param configured: limit of the machine, 0 if unknown.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_DESCRIPTORS
    return min(configured, allowed) if configured else allowed
