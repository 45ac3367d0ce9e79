"""Interface of the platform's list of instances and targets; it lags."""

import abc
import enum
from typing import NamedTuple

from cactusmux_base import failures
from returns import result


class Role(enum.StrEnum):
    """The role of a listed instance."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    PLAIN = 'plain'


class ListedInstance(NamedTuple):
    """One entry of the list.

    ``accelerator`` is the accelerator type of a target, empty for other
    roles; ``memory_mb`` is the total memory of its accelerators.
    ``service`` is the plain service that a ``PLAIN`` instance belongs to.
    ``peer_address`` is the gRPC address of an ``ENTRY`` instance for other
    entry instances.
    """

    address: str
    role: Role
    region: str
    zone: str
    leaving: bool = False
    accelerator: str = ''
    memory_mb: int = 0
    service: str = ''
    peer_address: str = ''


class ListUnavailable(failures.CactusmuxError):
    """The instance list could not be read."""

    reason = 'instance_list_unavailable'

    def __init__(self, address: str) -> None:
        super().__init__(f'instance list at {address} could not be read')
        self.address = address


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances.

    It lags behind the actual state of the fleet.
    """

    @abc.abstractmethod
    def fetch(
        self,
    ) -> result.Result[tuple[ListedInstance, ...], ListUnavailable]:
        """Returns all listed instances."""
