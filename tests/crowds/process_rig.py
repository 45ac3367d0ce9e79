"""Test rig: one real ``python3 platform`` process before small stand-ins.

The rig reads from the kernel what the process holds: its memory, the bytes
that wait unread in its sockets, its descriptors.
"""

import contextlib
import os
import pathlib
import random
import subprocess
import sys
from typing import NamedTuple

from cactusmux_fakes import scripted_target
import gevent
from gevent import socket

from ..adapter import kv_server

ROOT = pathlib.Path(__file__).resolve().parents[2]
LOOPBACK = '127.0.0.1'
BYTES_PER_MB = 1 << 20
KB_PER_MB = 1 << 10
STARTS_WITHIN_S = 30.0
ANSWERS_WITHIN_S = 60.0
STOPS_WITHIN_S = 10.0
SAMPLE_PERIOD_S = 0.02
MAX_BODY_BYTES = 4 << 20
KEY = 'k1'
SEAL = {'X-Cactusmux-Response-Seal': 'seal'}
LONG_ANSWER_BYTES = 8 << 20
# Below the ports that the kernel gives to clients: it would give away one
# that is free between the choice and the start.
PORT_RANGE = (12_000, 32_000)
# Columns of /proc/net/tcp.
_LOCAL_ADDRESS = 1
_QUEUES = 4
_INODE = 9


class Machine(NamedTuple):
    """Limits in the settings of the process."""

    memory_mb: int = 200
    file_descriptors: int = 4200


class Holdings(NamedTuple):
    """What the process holds.

    :ivar resident_mb: its resident memory.
    :ivar peak_resident_mb: the most that it ever had.
    :ivar unread_mb: bytes that wait unread in its sockets.
    :ivar descriptors: its open descriptors.
    """

    resident_mb: float
    peak_resident_mb: float
    unread_mb: float
    descriptors: int

    @property
    def memory_mb(self) -> float:
        """Memory that counts: resident and unread."""
        return self.resident_mb + self.unread_mb


class PlainTarget:
    """A plain target: short answers, long ones, and none.

    Paths that contain ``silent`` get no answer; ones with ``long`` get
    ``LONG_ANSWER_BYTES``.
    """

    def __init__(self) -> None:
        self.body_sizes: list[int] = []
        self._target = scripted_target.ScriptedTarget(self._script)

    @property
    def address(self) -> str:
        """Returns the listen address, as host:port."""
        return self._target.address

    def stop(self) -> None:
        """Accepts no more connections."""
        self._target.stop()

    def _script(self, sock, request) -> bool:
        self.body_sizes.append(len(request.body))
        if 'silent' in request.path:
            gevent.sleep(ANSWERS_WITHIN_S)
            return False
        size = LONG_ANSWER_BYTES if 'long' in request.path else 6
        try:
            sock.sendall(scripted_target.answer(b'b' * size, 200, SEAL))
        except OSError:
            return False
        return True


class ProcessRig:
    """One instance as a process, its store and its target.

    :ivar ports: all ports on which it serves HTTP: for callers, readiness,
        the directory, copies and metrics.
    """

    def __init__(self, directory: pathlib.Path, machine: Machine) -> None:
        self.machine = machine
        self.store = kv_server.KvServer()
        self.target = PlainTarget()
        self.ports = _free_ports(5)
        self._configure()
        settings = directory / 'boot.conf'
        settings.write_text(self._settings())
        self.log = directory / 'log'
        with self.log.open('wb') as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ROOT / 'platform')],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={**os.environ, 'CACTUSMUX_SETTINGS': str(settings)},
            )
        self.peak_memory_mb = 0.0
        self.peak_descriptors = 0
        self._sampler: gevent.Greenlet | None = None

    @property
    def entry_port(self) -> int:
        """Port for ordinary callers."""
        return self.ports[0]

    def start(self) -> None:
        """Waits until the instance serves; samples from then on."""
        with gevent.Timeout(STARTS_WITHIN_S):
            while not self._serves():
                assert self.process.poll() is None, self.log.read_text()
                gevent.sleep(SAMPLE_PERIOD_S)
        self._sampler = gevent.spawn(self._sample)

    def stop(self) -> None:
        """Ends the process and the stand-ins."""
        if self._sampler is not None:
            self._sampler.kill()
        self.process.kill()
        self.process.wait(STOPS_WITHIN_S)
        self.target.stop()
        self.store.stop()

    def ask(
        self,
        path: str = '/plain/x',
        body: bytes = b'hi',
        chunked: bool = False,
    ) -> int:
        """Returns the status of one ordinary request."""
        with gevent.Timeout(ANSWERS_WITHIN_S), self.connect() as sock:
            framed, value = _framed(body, chunked)
            sock.sendall(request_head(path, framed))
            sock.sendall(value)
            received = b''
            while data := sock.recv(65536):
                received += data
        status = received.partition(b'\r\n')[0].split(b' ')[1:2]
        return int(status[0]) if status else 0

    def connect(self, port: int | None = None) -> socket.socket:
        """Connects to the instance, to its entry by default."""
        return socket.create_connection((LOOPBACK, port or self.entry_port))

    def holdings(self) -> Holdings:
        """Reads what the process holds at present."""
        status = dict(
            line.split(':', 1)
            for line in self._proc('status').read_text().splitlines()
        )
        inodes = set()
        descriptors = list(self._proc('fd').iterdir())
        for descriptor in descriptors:
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(descriptor))
        return Holdings(
            _kb(status['VmRSS']) / KB_PER_MB,
            _kb(status['VmHWM']) / KB_PER_MB,
            self._unread_bytes(inodes) / BYTES_PER_MB,
            len(descriptors),
        )

    def check(self) -> None:
        """Checks that the process lives within its limits and serves."""
        status = self.ask()
        assert self.process.poll() is None, 'the process has ended'
        peak_mb = max(self.peak_memory_mb, self.holdings().peak_resident_mb)
        print(f'peak: {peak_mb:.0f} MB, {self.peak_descriptors} descriptors')
        assert peak_mb < self.machine.memory_mb
        assert self.peak_descriptors < self.machine.file_descriptors
        assert status == 200

    def _sample(self) -> None:
        while self.process.poll() is None:
            held = self.holdings()
            self.peak_memory_mb = max(self.peak_memory_mb, held.memory_mb)
            self.peak_descriptors = max(
                self.peak_descriptors, held.descriptors
            )
            gevent.sleep(SAMPLE_PERIOD_S)

    def _unread_bytes(self, inodes: set[str]) -> int:
        """Sums the receive queues of its sockets, accepted or not."""
        total = 0
        lines = pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]
        for line in lines:
            columns = line.split()
            port = int(columns[_LOCAL_ADDRESS].partition(':')[2], 16)
            is_pending = columns[_INODE] == '0' and port in self.ports
            if is_pending or f'socket:[{columns[_INODE]}]' in inodes:
                total += int(columns[_QUEUES].partition(':')[2], 16)
        return total

    def _proc(self, name: str) -> pathlib.Path:
        return pathlib.Path(f'/proc/{self.process.pid}/{name}')

    def _serves(self) -> bool:
        try:
            return self.ask() == 200
        except OSError:
            return False

    def _configure(self) -> None:
        route = {
            'name': 'plain',
            'host_name': 'h.example',
            'path_prefix': '/plain/',
            'route_kind': 'unsafe',
            'timeout_ms': 60000,
            'service_name': 'portal',
        }
        self.store.put(
            'op/config',
            {
                'version': 3,
                'routes': [route],
                'services': [{'name': 'portal'}],
                'tenants': [{'name': 'hule930', 'api_keys': [KEY]}],
                'limits': {
                    'max_header_bytes': 16384,
                    'max_body_bytes': MAX_BODY_BYTES,
                    'header_timeout_ms': 20000,
                    'idle_timeout_ms': 60000,
                },
            },
        )
        self.store.put(
            'servers/i-portal',
            {
                'service_name': 'portal',
                'address': self.target.address,
                'availability_zone': 'a',
                'concurrency_slots': 512,
                'state': 'ready',
                'born': 1790228837515,
            },
        )

    def _settings(self) -> str:
        entry, ready, directory, first, second = self.ports
        lines = [
            'node_name=front-a-1',
            f'ip_address={LOOPBACK}',
            'availability_zone=a',
            'region=r',
            f'listen_addresses.frontend={LOOPBACK}:{entry}',
            f'listen_addresses.ready={LOOPBACK}:{ready}',
            f'listen_addresses.directory_service={LOOPBACK}:{directory}',
            f'internal_port_range={first},{second}',
            f'platform_api.address={self.store.address}',
            f'limits.memory_mb={self.machine.memory_mb}',
            f'limits.file_descriptors={self.machine.file_descriptors}',
        ]
        return '\n'.join([*lines, ''])


def request_head(
    path: str, framing: bytes, more: tuple[bytes, ...] = ()
) -> bytes:
    """Returns the head of a request with a valid key.

    :param framing: the header that says how long the body is.
    :param more: further header lines.
    """
    lines = [
        f'POST {path} HTTP/1.1'.encode(),
        b'Host: h.example',
        b'X-Cactusmux-Request-Id: 9c41',
        b'Authorization: Bearer ' + KEY.encode(),
        b'Connection: close',
        framing,
        *more,
    ]
    return b'\r\n'.join([*lines, b'', b''])


def _framed(body: bytes, chunked: bool) -> tuple[bytes, bytes]:
    """Returns the header of the framing, and the framed body."""
    if not chunked:
        return b'Content-Length: %d' % len(body), body
    chunks = [
        scripted_target.chunk(body[start : start + 65536])
        for start in range(0, len(body), 65536)
    ]
    return (
        b'Transfer-Encoding: chunked',
        b''.join([*chunks, scripted_target.chunk(b'')]),
    )


def _kb(value: str) -> int:
    return int(value.split()[0])


def _free_ports(count: int) -> list[int]:
    """Returns consecutive ports that are free."""
    while True:
        first = random.randrange(*PORT_RANGE)
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
