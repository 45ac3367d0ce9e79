"""Interface of the rate-limited weight store, as placement sees it."""

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
    """Tells how fast weights may be loaded; targets load by themselves."""

    @abc.abstractmethod
    def rate_mb_per_s(self) -> result.Result[float, WeightsUnavailable]:
        """Returns the rate that all loads together may use, in MB/s."""
