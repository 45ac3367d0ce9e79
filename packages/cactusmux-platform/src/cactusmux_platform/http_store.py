"""HTTP client of the platform's configuration store, with JSON bodies."""

from typing import Any

from cactusmux_base import decoding
from cactusmux_base import metrics
import msgspec
from returns import result

from . import http_calls
from . import store_calls
from . import stores

CALL_TIMEOUT_S = 2.0
MAX_WAIT_S = 60.0
CONNECTIONS = 16
WATCH_CONNECTIONS = 4

_Outcome = result.Result[Any, stores.StoreError]


class HttpConfigStore(stores.ConfigStore):
    """Calls the store with a deadline per call, and counts calls by kind.

    Counters: ``store.calls.<call>`` and ``store.failures.<reason>``.
    Watches use separate connections, so that long polls never delay other
    calls.
    """

    def __init__(
        self,
        address: str,
        metric: metrics.Metrics,
        call_timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Creates the client; the first call connects.

        :param address: ``host:port`` of the store
        :param call_timeout_s: timeout of a call in seconds; for a watch,
            its ``wait_s`` is added
        """
        self._metric = metric
        self._call_timeout_s = call_timeout_s
        self._caller = http_calls.HttpCaller(
            address, CONNECTIONS, call_timeout_s
        )
        self._watch_caller = http_calls.HttpCaller(
            address, WATCH_CONNECTIONS, MAX_WAIT_S + call_timeout_s
        )

    def close(self) -> None:
        """Closes idle connections."""
        self._caller.close()
        self._watch_caller.close()

    def get(
        self, key: str
    ) -> result.Result[stores.Entry | None, stores.StoreError]:
        return self._read(store_calls.Call.GET, key)

    def get_prefix(
        self, prefix: str
    ) -> result.Result[tuple[stores.Entry, ...], stores.StoreError]:
        return self._read(store_calls.Call.GET_PREFIX, prefix)

    def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: int = 0,
    ) -> result.Result[stores.Entry, stores.StoreError]:
        call = store_calls.Call.COMPARE_AND_SWAP
        return self._write(call, key, key, value, expected_revision, lease_id)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[int, stores.StoreError]:
        call = store_calls.Call.DELETE
        return self._write(call, key, key, expected_revision)

    def grant_lease(
        self, ttl_s: float
    ) -> result.Result[int, stores.StoreError]:
        return self._write(store_calls.Call.GRANT_LEASE, 'lease', ttl_s)

    def renew_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        call = store_calls.Call.RENEW_LEASE
        return self._write(call, f'lease {lease_id}', lease_id)

    def revoke_lease(
        self, lease_id: int
    ) -> result.Result[None, stores.StoreError]:
        call = store_calls.Call.REVOKE_LEASE
        return self._write(call, f'lease {lease_id}', lease_id)

    def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> result.Result[stores.Watched, stores.StoreError]:
        wait_s = min(wait_s, MAX_WAIT_S)
        return self._call(
            self._watch_caller,
            store_calls.Call.WATCH,
            (prefix, after_revision, wait_s),
            wait_s + self._call_timeout_s,
            stores.StoreUnavailable(store_calls.Call.WATCH),
        )

    def _read(self, call: store_calls.Call, *arguments: object) -> _Outcome:
        return self._call(
            self._caller,
            call,
            arguments,
            self._call_timeout_s,
            stores.StoreUnavailable(call),
        )

    def _write(
        self, call: store_calls.Call, key: str, *arguments: object
    ) -> _Outcome:
        return self._call(
            self._caller,
            call,
            arguments,
            self._call_timeout_s,
            stores.OutcomeUnknown(key),
        )

    def _call(
        self,
        caller: http_calls.HttpCaller,
        call: store_calls.Call,
        arguments: tuple[object, ...],
        deadline_s: float,
        failure_if_lost: stores.StoreError,
    ) -> _Outcome:
        self._metric.count(f'store.calls.{call}')
        body = msgspec.json.encode(arguments)
        path = store_calls.PATH_PREFIX + call
        call_result = caller.call('POST', path, body, deadline_s)
        outcome = _outcome(call, call_result, failure_if_lost)
        if isinstance(outcome, result.Failure):
            self._metric.count(f'store.failures.{outcome.failure().reason}')
        return outcome


def _outcome(
    call: store_calls.Call,
    call_result: result.Result[http_calls.Response, http_calls.CallFailure],
    failure_if_lost: stores.StoreError,
) -> _Outcome:
    """Returns the outcome of a call; a malformed response counts as lost."""
    if isinstance(call_result, result.Failure):
        if isinstance(call_result.failure(), http_calls.CallNotSent):
            return result.Failure(stores.StoreUnavailable(call))
        return result.Failure(failure_if_lost)
    response = call_result.unwrap()
    if response.status == store_calls.STATUS_UNAVAILABLE:
        return result.Failure(stores.StoreUnavailable(call))
    if response.status == store_calls.STATUS_REFUSED:
        failure = store_calls.decode_failure(response.body)
        return result.Failure(failure or failure_if_lost)
    if response.status != store_calls.STATUS_OK:
        return result.Failure(failure_if_lost)
    try:
        found = decoding.from_json(
            response.body, type=store_calls.RESULT_BY_CALL[call]
        )
    except decoding.Unreadable:
        return result.Failure(failure_if_lost)
    return result.Success(found)
