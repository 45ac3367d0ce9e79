"""HTTP client of the platform's instance list, with JSON responses."""

from cactusmux_base import decoding
from cactusmux_base import metrics
from returns import result

from . import http_calls
from . import instances

PATH = '/instances'
CALL_TIMEOUT_S = 2.0
CONNECTIONS = 2


class HttpInstanceList(instances.InstanceList):
    """Fetches the complete list with each call.

    Counters: ``instances.calls`` and ``instances.failures.<reason>``.
    """

    def __init__(self, address: str, metric: metrics.Metrics) -> None:
        """Creates the client; the first call connects.

        :param address: ``host:port`` of the list
        """
        self._address = address
        self._metric = metric
        self._caller = http_calls.HttpCaller(
            address, CONNECTIONS, CALL_TIMEOUT_S
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._caller.close()

    def fetch(
        self,
    ) -> result.Result[
        tuple[instances.ListedInstance, ...], instances.ListUnavailable
    ]:
        self._metric.count('instances.calls')
        call_result = self._caller.call('GET', PATH, b'', CALL_TIMEOUT_S)
        listed = _decode(call_result.value_or(http_calls.Response(0, b'')))
        if listed is not None:
            return result.Success(listed)
        failure = instances.ListUnavailable(self._address)
        self._metric.count(f'instances.failures.{failure.reason}')
        return result.Failure(failure)


def _decode(
    response: http_calls.Response,
) -> tuple[instances.ListedInstance, ...] | None:
    """Returns the list, ``None`` if the response has no complete one."""
    if response.status != 200:
        return None
    try:
        return decoding.from_json(
            response.body, type=tuple[instances.ListedInstance, ...]
        )
    except decoding.Unreadable:
        return None
