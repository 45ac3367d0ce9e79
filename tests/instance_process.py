"""A real instance on loopback whose platform can't be reached."""

from collections.abc import Callable
import contextlib
import functools
import json
import os
import pathlib
import resource
import socket
import subprocess
import sys
import time
from typing import Any, NamedTuple

HOST = '127.0.0.1'
# Only keeps a test of a process that hangs from hanging, too.
GUARD_S = 30.0
RECEIVE_BYTES = 65_536
KIB = 1024
HEAD_END = b'\r\n\r\n'


class Answer(NamedTuple):
    """Status and the bytes after the head."""

    status: int
    body: bytes


class InstanceProcess:
    """Runs ``cactusmux serve`` until stopped.

    :param limits: the ``limits`` of its settings.
    :param descriptors: limit of its file descriptors, 0 for that of the test.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        limits: dict[str, Any] | None = None,
        descriptors: int = 0,
    ) -> None:
        self.log = folder / 'instance.log'
        self._address, peer, platform = _free_addresses(3)
        settings = folder / 'instance.json'
        settings.write_text(
            json.dumps(
                {
                    'instance_id': 'i1',
                    'address': f'{HOST}:{self._address[1]}',
                    'peer_address': f'{HOST}:{peer[1]}',
                    'region': 'kz-central',
                    'zone': 'kz-1',
                    'services': ['steppe-thread'],
                    'platform': {
                        'config_store': f'{HOST}:{platform[1]}',
                        'instance_list': f'{HOST}:{platform[1]}',
                        'weight_store': f'{HOST}:{platform[1]}',
                    },
                    'limits': limits or {},
                }
            )
        )
        program = pathlib.Path(sys.executable).with_name('cactusmux')
        with self.log.open('wb') as log:
            self._process = subprocess.Popen(
                [str(program), 'serve', str(settings)],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        if descriptors:
            resource.prlimit(
                self._process.pid,
                resource.RLIMIT_NOFILE,
                (descriptors, descriptors),
            )
        self._wait_until_it_listens()

    def stop(self) -> None:
        """Ends the process."""
        self._process.kill()
        self._process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process still runs."""
        return self._process.poll() is None

    @property
    def peak_bytes(self) -> int:
        """The most resident memory that the process ever had."""
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        for line in status.splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * KIB
        raise AssertionError('the process has ended')

    @property
    def descriptors(self) -> int:
        """The open descriptors of the process."""
        return len(os.listdir(f'/proc/{self._process.pid}/fd'))

    @property
    def unsent_bytes(self) -> int:
        """Bytes that callers have not taken from its socket buffers."""
        port = f':{self._address[1]:04X}'
        total = 0
        for line in pathlib.Path('/proc/net/tcp').read_text().splitlines():
            fields = line.split()
            if fields[1].endswith(port):
                total += int(fields[4].partition(':')[0], 16)
        return total

    def connect(self) -> socket.socket:
        """Returns a connection of a client."""
        return socket.create_connection(self._address, GUARD_S)

    def ask(self, request: bytes) -> Answer:
        """Sends a request on a new connection; returns its whole answer."""
        with self.connect() as client:
            client.sendall(request)
            return read_answer(client)

    def _wait_until_it_listens(self) -> None:
        for _ in range(300):
            ended = f'ended with {self._process.poll()}'
            assert self.is_running, f'{ended}: {self.log.read_text()}'
            try:
                self.connect().close()
            except ConnectionRefusedError:
                time.sleep(0.1)
                continue
            return
        raise AssertionError('the instance does not listen')


def read_answer(client: socket.socket) -> Answer:
    """Returns an answer, in chunks or of a stated length."""
    received = _receive_until(client, b'', lambda data: HEAD_END in data)
    head, _, body = received.partition(HEAD_END)
    lines = head.decode('latin-1').lower().split('\r\n')
    status = int(lines[0].split()[1])
    if 'transfer-encoding: chunked' in lines:
        is_whole = _ends_with_last_chunk
    else:
        length = _content_length(lines)
        is_whole = functools.partial(_has_length, length)
    return Answer(status, _receive_until(client, body, is_whole))


def _ends_with_last_chunk(body: bytes) -> bool:
    return body.endswith(b'0\r\n\r\n')


def _has_length(length: int, body: bytes) -> bool:
    return len(body) >= length


def _content_length(lines: list[str]) -> int:
    for line in lines:
        name, _, value = line.partition(':')
        if name == 'content-length':
            return int(value)
    return 0


def _receive_until(
    client: socket.socket, received: bytes, is_whole: Callable[[bytes], bool]
) -> bytes:
    while not is_whole(received):
        part = client.recv(RECEIVE_BYTES)
        if not part:
            raise ConnectionError('closed before the end of the answer')
        received += part
    return received


def send_all_taken(client: socket.socket, data: bytes) -> int:
    """Sends until all is sent or the peer closes; returns the bytes sent."""
    view = memoryview(data)
    sent = 0
    with contextlib.suppress(OSError):
        while sent < len(view):
            sent += client.send(view[sent : sent + RECEIVE_BYTES])
    return sent


def _free_addresses(count: int) -> list[tuple[str, int]]:
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    addresses = [each.getsockname() for each in sockets]
    for each in sockets:
        each.close()
    return addresses
