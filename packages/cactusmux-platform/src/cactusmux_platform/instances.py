"""Interface of the platform's lagging list of instances and targets."""

import abc
import enum
from typing import NamedTuple

from cactusmux_base import failures
from returns import result


class Role(enum.StrEnum):
    """What a listed instance does."""

    ENTRY = 'entry'
    ENGINE = 'engine'
    PLAIN = 'plain'


class ListedInstance(NamedTuple):
    """One line of the list.

    ``accelerator`` is the kind of a target's accelerators, empty for
    others; ``memory_mb`` is what all of them hold together. ``service`` is
    the plain service that a ``PLAIN`` instance belongs to. ``peer_address``
    is where other entry instances reach an ``ENTRY`` instance by gRPC.
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
    """The platform's list of live and leaving instances; it lags."""

    @abc.abstractmethod
    def fetch(
        self,
    ) -> result.Result[tuple[ListedInstance, ...], ListUnavailable]:
        """Returns all listed instances."""
