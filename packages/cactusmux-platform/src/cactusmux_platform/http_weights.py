"""HTTP client of the platform's weight store, with JSON responses."""

import math

from cactusmux_base import decoding
from cactusmux_base import metrics
from returns import result

from . import http_calls
from . import weights

PATH = '/weights/rate_mb_per_s'
CALL_TIMEOUT_S = 2.0
CONNECTIONS = 1


class HttpWeightStore(weights.WeightStore):
    """Requests the rate with each call.

    Counters: ``weights.calls`` and ``weights.failures.<reason>``.
    """

    def __init__(self, address: str, metric: metrics.Metrics) -> None:
        """Creates the client; the first call connects.

        :param address: ``host:port`` of the weight store
        """
        self._address = address
        self._metric = metric
        self._caller = http_calls.HttpCaller(
            address, CONNECTIONS, CALL_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._caller.close()

    def rate_mb_per_s(
        self,
    ) -> result.Result[float, weights.WeightsUnavailable]:
        self._metric.count('weights.calls')
        call_result = self._caller.call('GET', PATH, b'', CALL_TIMEOUT_S)
        rate = _decode(call_result.value_or(http_calls.Response(0, b'')))
        if rate is not None:
            return result.Success(rate)
        failure = weights.WeightsUnavailable(self._address)
        self._metric.count(f'weights.failures.{failure.reason}')
        return result.Failure(failure)


def _decode(response: http_calls.Response) -> float | None:
    """Returns the rate, ``None`` unless it is a positive number."""
    if response.status != 200:
        return None
    try:
        rate = decoding.from_json(response.body, type=float)
    except decoding.Unreadable:
        return None
    return rate if math.isfinite(rate) and rate > 0 else None
