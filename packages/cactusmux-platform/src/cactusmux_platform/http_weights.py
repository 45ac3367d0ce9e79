"""Client of the platform's weight store: HTTP with JSON."""

import math

from cactusmux_base import metrics
import msgspec
from returns import result

from . import http_calls
from . import weights

PATH = '/weights/rate_mb_per_s'
CALL_TIMEOUT_S = 2.0
CONNECTIONS = 1


class HttpWeightStore(weights.WeightStore):
    """Asks for the rate at each call.

    Counters: ``weights.calls`` and ``weights.failures.<reason>``.
    """

    def __init__(self, address: str, metric: metrics.Metrics) -> None:
        """Prepares calls; connects at the first one.

        :param address: ``host:port`` of the weight store
        """
        self._address = address
        self._metric = metric
        self._caller = http_calls.HttpCaller(
            address, CONNECTIONS, CALL_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes the idle connections."""
        self._caller.close()

    def rate_mb_per_s(
        self,
    ) -> result.Result[float, weights.WeightsUnavailable]:
        self._metric.count('weights.calls')
        sent = self._caller.call('GET', PATH, b'', CALL_TIMEOUT_S)
        rate = _decode(sent.value_or(http_calls.Response(0, b'')))
        if rate is not None:
            return result.Success(rate)
        failure = weights.WeightsUnavailable(self._address)
        self._metric.count(f'weights.failures.{failure.reason}')
        return result.Failure(failure)


def _decode(answer: http_calls.Response) -> float | None:
    """Returns the rate, ``None`` unless it is a positive number."""
    if answer.status != 200:
        return None
    try:
        rate = msgspec.json.decode(answer.body, type=float)
    except msgspec.MsgspecError:
        return None
    return rate if math.isfinite(rate) and rate > 0 else None
