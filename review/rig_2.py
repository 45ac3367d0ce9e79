"""Stand-ins and a harness for the scripts of review 2.

Only the standard library is used. The store and the servers are asyncio
servers in this process; each instance of the product is a process of its own,
started by the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
LOOPBACK = '127.0.0.1'
KEY = 'k1key'
TENANT = 'tenant-a'
HOST = 'ficu95.example'
BEAT_S = 1.2
SEAL = 'X-Cactusmux-Response-Seal'
# Below the ports that the kernel gives to clients.
PORTS = (12_000, 32_000)
# What a crowd and an instance need, and what they are given if allowed.
LEAST_DESCRIPTORS = 4000
MOST_DESCRIPTORS = 6000


def free_ports(count):
    """Returns ports that are free for TCP and UDP at present."""
    rng = random.SystemRandom()
    found = []
    while len(found) < count:
        port = rng.randrange(*PORTS)
        if port in found:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = stack.enter_context(
                        socket.socket(socket.AF_INET, kind)
                    )
                    sock.bind((LOOPBACK, port))
            except OSError:
                continue
        found.append(port)
    return found


def free_port_pair():
    """Returns the first of two neighbouring free ports."""
    while True:
        (port,) = free_ports(1)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((LOOPBACK, port + 1))
        except OSError:
            continue
        return port


def raise_descriptors():
    """Raises the soft limit on descriptors, which instances inherit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    allowed = hard if hard != resource.RLIM_INFINITY else MOST_DESCRIPTORS
    if allowed < LEAST_DESCRIPTORS:
        raise CannotRun(f'needs {LEAST_DESCRIPTORS} descriptors')
    wanted = max(soft, min(allowed, MOST_DESCRIPTORS))
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class Record:
    """The file ``record.txt`` of a case, with the time of each line."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._began_at = time.monotonic()

    def add(self, text):
        now = time.monotonic() - self._began_at
        line = f'{now:8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def say(self, text):
        self.add(text)
        print(text, flush=True)


class Head:
    """Start line and headers of a message; names are in lower case."""

    def __init__(self, raw):
        lines = raw.decode('latin-1').split('\r\n')
        self.line = lines[0]
        self.headers = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                self.headers.setdefault(name.strip().lower(), value.strip())

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns the next head, ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Head(raw[:-4])


async def read_body(reader, head):
    """Returns the whole body of a message with a length or chunks."""
    if 'chunked' in (head.get('transfer-encoding') or ''):
        parts = []
        while True:
            line = await reader.readline()
            size = int(line.split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return b''.join(parts)
            parts.append(part[:-2])
    length = int(head.get('content-length') or 0)
    return await reader.readexactly(length) if length else b''


def answer(status, headers, body=b''):
    """Returns the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{name}: {value}' for name, value in headers]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class HttpStandIn:
    """An HTTP server that answers one request after another."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f'{LOOPBACK}:{self.port}'

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, LOOPBACK, port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """Ends the listener and resets all channels."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                if not await self.handle(head, body, reader, writer):
                    return
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def handle(self, head, body, reader, writer):
        """Answers one request; returns whether the channel is kept."""
        raise NotImplementedError


class Store(HttpStandIn):
    """The platform's store, in memory."""

    def __init__(self):
        super().__init__()
        self.items = {}
        self.revision = 10
        self.history = []
        self.leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes without a condition, as the operator and servers do."""
        self.revision += 1
        created = self.items.get(key, {}).get('created_rev', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'created_rev': created,
            'lease': lease,
        }
        self.items[key] = item
        self.history.append(item)
        self._notify()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        gone = {'key': key, 'revision': self.revision, 'tombstone': True}
        self.history.append(gone)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire(self):
        """Ends leases whose time is over, forever."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ttl_ms, ends_at) in list(self.leases.items()):
                if ends_at <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def handle(self, head, body, reader, writer):
        method, target, _ = head.line.split(' ')
        path, _, text = target.partition('?')
        query = {}
        for pair in text.split('&'):
            name, _, value = pair.partition('=')
            query[name] = _unquote(value)
        asked = json.loads(body) if body else {}
        status, found = await self._call(path.strip('/'), query, asked)
        writer.write(
            answer(
                status,
                [('Content-Type', 'application/json')],
                json.dumps(found).encode(),
            )
        )
        await writer.drain()
        return True

    async def _call(self, path, query, asked):
        name, _, argument = path.partition('/')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'current_rev': self.revision}
            return 200, {**item, 'current_rev': self.revision}
        if name == 'kv-range':
            prefix = query['path_prefix']
            items = [
                item
                for key, item in sorted(self.items.items())
                if key.startswith(prefix)
            ]
            return 200, {
                'items': items,
                'more_pages': False,
                'current_rev': self.revision,
            }
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return self._transact(asked)
        if name == 'kv-lease':
            self._next_lease += 1
            ttl_ms = max(1000, asked['ttl_ms'])
            ends_at = time.monotonic() + ttl_ms / 1000
            self.leases[self._next_lease] = (ttl_ms, ends_at)
            return 200, {'lease': self._next_lease, 'ttl_ms': ttl_ms}
        lease = int(argument)
        if lease not in self.leases:
            return 404, {}
        ttl_ms, _ = self.leases[lease]
        if name == 'kv-lease-end':
            self._end_lease(lease)
            return 200, {}
        self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {'ttl_ms': ttl_ms}

    async def _watch(self, query):
        after = int(query['after'])
        until = time.monotonic() + min(30000, int(query['wait_ms'])) / 1000
        while True:
            changed = self._changed
            events = [
                each
                for each in self.history
                if each['revision'] > after
                and each['key'].startswith(query['path_prefix'])
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _transact(self, asked):
        rows = asked.get('expected', [])
        for row in rows:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [each['key'] for each in rows]
                return 412, {
                    'items': [
                        self.items[key] for key in keys if key in self.items
                    ]
                }
        for write in asked.get('writes', []):
            lease = write.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
        for write in asked.get('writes', []):
            self.put(
                write['key'],
                base64.b64decode(write['value']),
                write.get('lease', 0),
            )
        for key in asked.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


def _unquote(text):
    raw = bytearray()
    position = 0
    text = text.replace('+', ' ')
    while position < len(text):
        if text[position] == '%':
            raw.append(int(text[position + 1 : position + 3], 16))
            position += 3
        else:
            raw += text[position].encode()
            position += 1
    return raw.decode()


class Server(HttpStandIn):
    """A server of a service without a model, as PROTOCOL.md tells it.

    ``runs`` lists the ids of the requests that it has run.
    """

    def __init__(self, name, service, record, slots=6):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.work_s = 0.05
        self.runs = []

    def beat(self, store, state='ready'):
        """Writes its entry."""
        store.put(
            f'servers/{self.name}',
            json.dumps(
                {
                    'service_name': self.service,
                    'address': self.address,
                    'availability_zone': 'zone-a',
                    'version': 'v1',
                    'concurrency_slots': self.slots,
                    'state': state,
                    'cold_remaining_ms': 0,
                    'sequence_number': 0,
                    'born': 1700000000000,
                }
            ).encode(),
        )

    async def handle(self, head, body, reader, writer):
        method, path, _ = head.line.split(' ')
        if path == '/health':
            writer.write(answer(200, [('X-Cactusmux-Instance-Id', self.name)]))
            await writer.drain()
            return True
        expected = head.get('x-cactusmux-expected-instance')
        if expected not in (None, self.name):
            writer.write(answer(421, [('X-Cactusmux-Instance-Id', self.name)]))
            await writer.drain()
            return True
        return await self.run(head, body, reader, writer)

    async def run(self, head, body, reader, writer):
        """Runs one request and answers it."""
        request_id = head.get('x-cactusmux-request-id')
        self.runs.append(request_id)
        self.record.add(f'server {self.name} runs {request_id}')
        await asyncio.sleep(self.work_s)
        writer.write(
            answer(
                200,
                [('X-Cactusmux-Request-Id', request_id), (SEAL, 'seal-1')],
                b'b' * 800,
            )
        )
        await writer.drain()
        return True


def route(name, prefix, kind, service, timeout_ms=3000, **more):
    return {
        'name': name,
        'host_name': HOST,
        'path_prefix': prefix,
        'route_kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 1,
        'service_name': service,
        'max_attempts': 2 if kind == 'safe' else 1,
        'anonymous_access': False,
        **more,
    }


def desired_state(version, routes, services, limits=None):
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health_check_path': '/health',
                'connection_limit': 100,
            }
            if isinstance(name, str)
            else name
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **(limits or {}),
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


class Instance:
    """One process of the product, started again when it ends."""

    def __init__(self, name, store, directory, memory_mb=300):
        self.name = name
        self.memory_mb = memory_mb
        self.entry, self.ready, self.directory_port, self.control = free_ports(
            4
        )
        first = free_port_pair()
        self._settings = directory / f'{name}.conf'
        self.log = directory / f'{name}.log'
        self._settings.write_text(
            '\n'.join(
                [
                    f'node_name={name}',
                    'role=router',
                    'machine_class=front',
                    'serves=front,directory',
                    f'ip_address={LOOPBACK}',
                    'availability_zone=zone-a',
                    'region=region-a',
                    'zones.zone-a=region-a',
                    f'listen_addresses.frontend={LOOPBACK}:{self.entry}',
                    f'listen_addresses.ready={LOOPBACK}:{self.ready}',
                    'listen_addresses.directory_service='
                    f'{LOOPBACK}:{self.directory_port}',
                    f'internal_port_range={first},{first + 1}',
                    'bootstrap=true',
                    'counts_toward_tolerance=false',
                    'limits.cpu_fraction=0.537',
                    'limits.cpu_cores=2',
                    f'limits.memory_mb={memory_mb}',
                    'limits.file_descriptors=4100',
                    'limits.link_bandwidth_mbps=1000.0',
                    'limits.disk_capacity_mb=0',
                    'discovery=platform',
                    'entry=directory',
                    'heartbeat_interval_ms=1200',
                    'bounds.drain_ms=2000',
                    'bounds.grace_period_s=8',
                    'bounds.config_apply_ms=2000',
                    'bounds.retry_budget_ratio=0.2',
                    'bounds.retry_window_s=10',
                    'bounds.extra_retries=200',
                    'bounds.ttl_max_s=5',
                    f'platform_api.address={store.address}',
                    'platform_api.form=kv',
                    'platform_api.writes_per_s=400',
                    'platform_api.reads_per_s=2000',
                    'platform_api.history_s=20',
                    'platform_api.value_bytes=1048576',
                    'platform_api.ttl_min_ms=1000',
                    '',
                ]
            )
        )
        self.process = None

    def start(self):
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['CACTUSMUX_SETTINGS'] = str(self._settings)
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', 'platform'],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=env,
            )

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def memory_now_mb(self):
        """Returns its resident memory, 0 if it has ended."""
        try:
            text = pathlib.Path(
                f'/proc/{self.process.pid}/status'
            ).read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        try:
            status, _, _ = await asyncio.wait_for(
                ask(self.ready, 'GET', '/readiness', 'none', key=None), 1.0
            )
        except (OSError, asyncio.TimeoutError, Lost):
            return False
        return status == 200

    async def await_ready(self, within_s=30.0):
        until = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(f'{self.name} did not become ready')
            await asyncio.sleep(0.1)


class CannotRun(Exception):
    """The case can't run here."""


class Lost(Exception):
    """The channel ended without a complete answer."""


async def ask(port, method, path, request_id, key=KEY, deadline_ms=3000,
              body=b'', headers=()):
    """Sends a request on a new channel; returns status, headers and body."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    try:
        lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
        lines += [f'X-Cactusmux-Request-Id: {request_id}']
        lines += [f'X-Cactusmux-Deadline-Milliseconds: {deadline_ms}']
        if key is not None:
            lines += [f'Authorization: Bearer {key}']
        lines += [f'{name}: {value}' for name, value in headers]
        if body or method == 'POST':
            lines += [f'Content-Length: {len(body)}']
        writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise Lost
        status = int(head.line.split(' ')[1])
        return status, head, await read_body(reader, head)
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        raise Lost from error
    finally:
        writer.close()


def main(case, play, has_trouble):
    """Runs ``play``; exits with its result.

    ``play`` gets the record, a folder, whether there is a disruption, and a
    list for the instances that it starts; it returns whether the rule was
    broken.
    """
    folder = pathlib.Path(case).resolve().parent
    record = Record(folder / 'record.txt')
    record.say(f'trouble: {has_trouble}')
    directory = pathlib.Path(tempfile.mkdtemp(prefix='review-2-'))
    if not (ROOT / 'target' / 'deps').is_dir():
        record.say('cannot run: target/deps is missing')
        raise SystemExit(2)
    instances = []

    def finish(status, text):
        for each in instances:
            each.end()
        if os.environ.get('KEEP_LOGS'):
            print(directory)
        else:
            shutil.rmtree(directory, ignore_errors=True)
        record.say(text)
        # The stand-ins end with this process.
        os._exit(status)

    async def run():
        try:
            broken = await asyncio.wait_for(
                play(record, directory, has_trouble, instances), 112
            )
        except CannotRun as error:
            finish(2, f'cannot run: {error}')
        except asyncio.TimeoutError:
            finish(2, 'cannot run: out of time')
        except BaseException as error:
            finish(2, f'cannot run: {error!r}')
        if broken:
            finish(1, 'the rule was broken')
        finish(0, 'the rule held')

    asyncio.run(run())
