"""HTTP client of the commands for an instance's operator API."""

from typing import Any

from cactusmux_base import decoding
from cactusmux_base import failures
from geventhttpclient import client as http_client
from geventhttpclient import response as http_response
from returns import result

CONNECT_TIMEOUT_S = 2.0
CALL_TIMEOUT_S = 15.0
HTTP_OK = 200


class InstanceUnreachable(failures.CactusmuxError):
    """The instance did not answer."""

    reason = 'instance_unreachable'

    def __init__(self, address: str, detail: str) -> None:
        super().__init__(f'instance {address} did not answer: {detail}')
        self.address = address
        self.detail = detail


class InstanceRefused(failures.CactusmuxError):
    """The instance refused the call; ``answer`` holds problem details."""

    reason = 'instance_refused'

    def __init__(self, address: str, answer: dict[str, Any]) -> None:
        super().__init__(str(answer.get('detail', answer)))
        self.address = address
        self.answer = answer


Answer = result.Result[Any, failures.CactusmuxError]


def call(address: str, method: str, path: str, body: bytes = b'') -> Answer:
    """Calls an instance and returns its JSON response.

    :param address: ``IP:PORT`` of any instance.
    """
    host, _, port = address.rpartition(':')
    if not port.isdecimal():
        return result.Failure(InstanceUnreachable(address, 'not IP:PORT'))
    client = http_client.HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=CALL_TIMEOUT_S,
    )
    try:
        response = client.request(method, path, body)
        answer = decoding.any_json(bytes(response.read()))
    except (
        OSError,
        http_response.HTTPParseError,
        http_response.HTTPConnectionClosed,
        decoding.Unreadable,
    ) as error:
        detail = str(error) or type(error).__name__
        return result.Failure(InstanceUnreachable(address, detail))
    finally:
        client.close()
    if response.get_code() != HTTP_OK:
        return result.Failure(InstanceRefused(address, answer))
    return result.Success(answer)
