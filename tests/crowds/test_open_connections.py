"""Crowds that open more connections than the process may hold."""

import resource

import gevent
import msgspec
import pytest

from . import process_rig

SMALL = process_rig.Machine(file_descriptors=600)
# Descriptors that the machine keeps for files.
FOR_FILES = 200
# More than the process may have descriptors.
CLIENTS = 800
# More than 1,024, the limit of select(), but fewer than the machine allows.
MANY_CLIENTS = 1500
# Ordinary requests that are sent at once.
ROUND = 8
# The crowd stays: nobody is disconnected within a test.
LASTING_MS = 600_000
CONFIG_KEY = 'op/config'
APPLIED_WITHIN_S = 20.0
STATUS_OK = 200

IDLE = ()
HALF_HEAD = (b'GET /plain/x HTTP/1.1\r\nHost: h.example\r\n',)
# Their target doesn't answer.
SILENT = (process_rig.request_head('/plain/silent', b'Content-Length: 0'),)
CROWDS = pytest.mark.parametrize(
    'sent', [IDLE, HALF_HEAD], ids=['idle', 'half_head']
)


@pytest.fixture(name='machine')
def _machine():
    return SMALL


def _configure(rig, route_kind='unsafe'):
    """Lets connections stay open for longer than any test."""
    found = rig.store.memory.get(CONFIG_KEY).unwrap()
    config = msgspec.json.decode(found.value)
    config['version'] += 1
    config['limits']['header_timeout_ms'] = LASTING_MS
    config['limits']['idle_timeout_ms'] = LASTING_MS
    config['routes'][0]['route_kind'] = route_kind
    rig.store.put(CONFIG_KEY, config)
    version = f'version={config["version"]}'
    with gevent.Timeout(APPLIED_WITHIN_S):
        while version not in rig.log.read_text():
            gevent.sleep(process_rig.SAMPLE_PERIOD_S)


def _limit_by_kernel(rig):
    limit = rig.machine.file_descriptors
    resource.prlimit(rig.process.pid, resource.RLIMIT_NOFILE, (limit, limit))


def _get(rig, port, path):
    """Returns the status of a request to another address than the entry."""
    request = f'GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
    received = b''
    with (
        gevent.Timeout(process_rig.ANSWERS_WITHIN_S),
        rig.connect(port) as sock,
    ):
        sock.sendall(request.encode())
        while data := sock.recv(65536):
            received += data
    return int(received.split()[1]) if received else 0


def _ask_at_once(rig):
    """Returns the statuses of a round of ordinary requests."""
    asked = [gevent.spawn(rig.ask) for _ in range(ROUND)]
    gevent.joinall(asked)
    return [each.value for each in asked]


def _check(rig):
    """Checks the process, its descriptors, and one answer a surface."""
    rig.check()
    used = rig.peak_descriptors
    assert used < rig.machine.file_descriptors - FOR_FILES
    _check_surfaces(rig)


def _check_surfaces(rig):
    _, ready, directory, *_ = rig.ports
    assert _get(rig, ready, '/readiness') == STATUS_OK
    path = '/resolution?availability_zone=a'
    assert _get(rig, directory, path) == STATUS_OK


@CROWDS
@pytest.mark.parametrize(
    'port_index', [0, 1, 2], ids=['entry', 'ready', 'directory']
)
def test_connections_beyond_the_descriptors_of_the_machine(rig, clients, sent):
    _configure(rig)
    clients.join(CLIENTS, lambda: sent)
    clients.settle()
    _check(rig)


@CROWDS
def test_connections_beyond_the_descriptors_of_the_kernel(rig, clients, sent):
    _limit_by_kernel(rig)
    _configure(rig)
    clients.join(CLIENTS, lambda: sent)
    clients.settle()
    _check(rig)


@pytest.mark.parametrize('machine', [process_rig.Machine()], ids=['usual'])
def test_kept_connections_to_a_target_beside_many_idle_clients(rig, clients):
    _configure(rig, route_kind='safe')
    clients.join(MANY_CLIENTS, lambda: IDLE)
    clients.settle()
    # The second round takes the connections to the target that the first left.
    statuses = [_ask_at_once(rig), _ask_at_once(rig)]
    assert statuses == [[STATUS_OK] * ROUND] * 2
    _check(rig)


def test_requests_in_service_beyond_the_descriptors(rig, clients):
    _limit_by_kernel(rig)
    clients.join(CLIENTS, lambda: SILENT)
    clients.settle()
    _check_surfaces(rig)
    clients.leave()
    _check(rig)
