"""Interface of the rate-limited weight store, as used by placement."""

import abc

from cactusmux_base import failures
from returns import result


class WeightsUnavailable(failures.CactusmuxError):
    """The weight store did not answer."""

    reason = 'weight_store_unavailable'

    def __init__(self, address: str) -> None:
        super().__init__(f'weight store at {address} did not answer')
        self.address = address


class WeightStore(abc.ABC):
    """Provides the permitted load rate; targets load weights themselves."""

    @abc.abstractmethod
    def rate_mb_per_s(self) -> result.Result[float, WeightsUnavailable]:
        """Returns the permitted rate of all loads together, in MB/s."""
