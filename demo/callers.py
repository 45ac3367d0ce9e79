"""A client that fetches instance addresses, caches and uses them."""

from collections.abc import Callable
import json
import random
from typing import Any, NamedTuple

from geventhttpclient import client as http_client
from geventhttpclient import response as http_response

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 20.0
EVENT_PREFIX = b'data: '
DONE = b'[DONE]'
NETWORK_ERRORS = (
    OSError,
    http_response.HTTPParseError,
    http_response.HTTPConnectionClosed,
)


OnToken = Callable[[int], None]


class Answer(NamedTuple):
    """The response to a caller.

    ``completed`` is true only for a complete response. ``problem`` holds the
    problem details of a rejection.
    """

    status: int
    completed: bool
    text: str
    problem: dict[str, Any]
    request_id: str = ''

    @property
    def not_run(self) -> bool:
        """Whether the response states that the request did not run."""
        return self.problem.get('outcome') == 'not_run'


class Caller:
    """Sends requests to addresses received from an instance."""

    def __init__(self, address: str, rng: random.Random) -> None:
        self._known = [address]
        self._rng = rng

    def refresh(self) -> list[str]:
        """Fetches the addresses to use from a known instance."""
        for address in list(self._known):
            answer = send(address, 'GET', '/addresses')
            if answer.status == 200:
                listed = json.loads(answer.text)['addresses']
                self._known = [one['address'] for one in listed]
                break
        return self._known

    def draft(
        self,
        service: str,
        body: dict[str, Any],
        on_token: OnToken | None = None,
    ) -> Answer:
        """Requests a stream and reads it to the end."""
        address = self._rng.choice(self._known)
        path = f'/services/{service}/v1/completions'
        encoded = json.dumps({**body, 'stream': True}).encode()
        return send(address, 'POST', path, encoded, on_token=on_token)

    def plain(
        self,
        service: str,
        kind: str,
        organisation: str,
        body: bytes,
        key: str = '',
    ) -> Answer:
        """Calls a plain service, with an idempotency key if there is one."""
        address = self._rng.choice(self._known)
        headers = {
            'Content-Type': 'application/json',
            'X-Organisation': organisation,
        }
        if key:
            headers['Idempotency-Key'] = key
        path = f'/services/{service}/plain/{kind}'
        return send(address, 'POST', path, body, headers)


def send(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    on_token: OnToken | None = None,
) -> Answer:
    """Sends one request on a new connection, without retries."""
    host, _, port = address.rpartition(':')
    client = http_client.HTTPClient(
        host,
        int(port),
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=READ_TIMEOUT_S,
    )
    try:
        response = client.request(method, path, body, headers or {})
        kind = str(response.get('content-type', ''))
        if kind.startswith('text/event-stream'):
            return _read_events(response, on_token)
        return _read_whole(response)
    except NETWORK_ERRORS as error:
        return Answer(0, False, '', {'reason': type(error).__name__})
    finally:
        client.close()


def _read_whole(response: Any) -> Answer:
    text = bytes(response.read()).decode()
    status = response.get_code()
    request_id = str(response.get('x-request-id', ''))
    if status < 400:
        return Answer(status, True, text, {}, request_id)
    return Answer(status, False, text, json.loads(text), request_id)


def _read_events(response: Any, on_token: OnToken | None) -> Answer:
    texts: list[str] = []
    request_id = str(response.get('x-request-id', ''))
    while line := bytes(response.readline(b'\n')):
        if not line.startswith(EVENT_PREFIX):
            continue
        content = line[len(EVENT_PREFIX) :].strip()
        if content == DONE:
            return Answer(200, True, ''.join(texts), {}, request_id)
        event = json.loads(content)
        if 'error' in event:
            problem = event['error']
            return Answer(200, False, ''.join(texts), problem, request_id)
        text = event['choices'][0]['text']
        texts.append(text)
        if on_token is not None and text:
            on_token(len(texts))
    cut = {'reason': 'stream_cut'}
    return Answer(200, False, ''.join(texts), cut, request_id)
