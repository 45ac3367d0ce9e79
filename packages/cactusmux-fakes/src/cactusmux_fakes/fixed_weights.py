"""A fake weight store with a settable transfer rate."""

from cactusmux_platform import weights
from returns import result


class FixedWeightStore(weights.WeightStore):
    """Returns ``rate``, in MB/s; ``down`` makes it fail."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.down = False

    def rate_mb_per_s(
        self,
    ) -> result.Result[float, weights.WeightsUnavailable]:
        if self.down:
            return result.Failure(weights.WeightsUnavailable('stand-in'))
        return result.Success(self.rate)
