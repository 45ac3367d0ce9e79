"""Stand-ins of the platform for the review: store, servers, clients.

Only the standard library is used. They follow the users' pages: the store is
linearizable and keeps its history, servers register under `servers/`, check
`X-Cactusmux-Expected-Instance`, echo the request id and seal each answer.
All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = '127.0.0.1'
HEARTBEAT_S = 1.2
HISTORY = 5000
STARTED = time.monotonic()


def now():
    return time.monotonic() - STARTED


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')

    def add(self, kind, **fields):
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{now():8.3f} {kind} {text}\n')
        self._file.flush()

    def close(self):
        self._file.close()


def free_ports(count):
    """Returns free ports, two of which are always neighbours."""
    found = []
    base = 20000 + 2 * int.from_bytes(os.urandom(2), 'big') % 9000
    while len(found) < count:
        base += 2
        if base > 60000:
            base = 20000
        if all(_is_free(each) for each in (base, base + 1)):
            found.extend((base, base + 1))
    return found[:count]


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                return False
    return True


class Message:
    """A request or an answer; header names are in lower case."""

    def __init__(self, first, headers, body=b''):
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns first line and headers; ``None`` at the end of the channel."""
    data = await reader.readuntil(b'\r\n\r\n')
    first, *lines = data[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return Message(first, headers)


async def read_body(reader, headers, to_end=False):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            line = await reader.readuntil(b'\r\n')
            size = int(line.split(b';')[0], 16)
            parts.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return b''.join(parts)
    length = headers.get('content-length')
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if to_end else b''


def answer_bytes(status, body=b'', headers=None):
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    return '\r\n'.join([*lines, '', '']).encode() + body


class Store:
    """The platform's metadata store, with its HTTP interface."""

    def __init__(self):
        self.revision = 10
        self.era = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self._next_lease = 70000
        self._changed = asyncio.Condition()
        self.address = ''

    async def start(self):
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f'{HOST}:{server.sockets[0].getsockname()[1]}'
        asyncio.create_task(self._expire())

    async def put(self, key, value, lease=0):
        """Writes unconditionally, as the operator or a server does."""
        if not isinstance(value, bytes):
            value = json.dumps(value, separators=(',', ':')).encode()
        self.revision += 1
        self._set(key, value, lease)
        await self._notify()

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            self._drop(key)
            await self._notify()

    def _set(self, key, value, lease):
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
        del self.history[:-HISTORY]

    def _drop(self, key):
        del self.items[key]
        gone = {'key': key, 'revision': self.revision, 'tombstone': True}
        self.history.append(gone)

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (_, ends_at) in list(self.leases.items()):
                if ends_at <= now():
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, each in self.items.items() if each['lease'] == lease]
        for key in keys:
            self.revision += 1
            self._drop(key)
        if keys:
            await self._notify()

    async def _serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                method, target, _ = head.first.split(' ')
                path, _, query = target.partition('?')
                query = dict(urllib.parse.parse_qsl(query))
                await asyncio.sleep(0.004)
                status, found = await self._call(method, path, query, body)
                data = json.dumps(found).encode()
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': self.era,
                }
                writer.write(answer_bytes(status, data, headers))
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _call(self, method, path, query, body):
        name, _, argument = path.strip('/').partition('/')
        given = json.loads(body) if body else {}
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'current_rev': self.revision}
            return 200, {**item, 'current_rev': self.revision}
        if name == 'kv-range':
            return 200, self._range(query)
        if name == 'kv-watch':
            return await self._watch(query)
        if name == 'kv-txn':
            return await self._transact(given)
        if name == 'kv-lease':
            self._next_lease += 1
            ttl_s = given['ttl_ms'] / 1000
            self.leases[self._next_lease] = (ttl_s, now() + ttl_s)
            return 200, {'lease': self._next_lease, 'ttl_ms': given['ttl_ms']}
        lease = int(argument)
        if lease not in self.leases:
            return 404, {}
        if name == 'kv-keep':
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {'ttl_ms': ttl_s * 1000}
        await self._end_lease(lease)
        return 200, {}

    def _range(self, query):
        prefix, after = query['path_prefix'], query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'more_pages': len(keys) > 500,
            'current_rev': self.revision,
        }

    async def _watch(self, query):
        prefix, after = query['path_prefix'], int(query['after'])
        until = now() + int(query['wait_ms']) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            events = [
                each
                for each in self.history
                if each['revision'] > after and each['key'].startswith(prefix)
            ]
            left_s = until - now()
            if events or left_s <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except TimeoutError:
                    pass

    async def _transact(self, given):
        for write in given['writes']:
            lease = write.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
        for row in given['expected']:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                keys = [each['key'] for each in given['expected']]
                found = [self.items[k] for k in keys if k in self.items]
                return 412, {'items': found, 'current_rev': self.revision}
        self.revision += 1
        for write in given['writes']:
            value = base64.b64decode(write['value'])
            self._set(write['key'], value, write.get('lease', 0))
        for key in given['deletes']:
            if key in self.items:
                self._drop(key)
        await self._notify()
        return 200, {'revision': self.revision}


class Server:
    """A server of a service; a model server where ``kind`` is given.

    :param run: coroutine that runs a request and writes its answer; gets the
        server, the request and the writer, and returns whether to keep the
        channel.
    """

    starts = 0

    def __init__(self, store, record, service, zone, run, kind='', layers=0):
        self.store, self.record = store, record
        self.service, self.zone, self.run = service, zone, run
        self.kind, self.all_layers = kind, layers
        self.port = 0
        self.state = 'ready'
        self.leaving = False
        self.is_up = False
        self.id = ''
        self.slots = 96 if kind else 6
        self._writers = set()

    @property
    def address(self):
        return f'{HOST}:{self.port}'

    async def start(self):
        """Starts with a new id and writes the entry."""
        Server.starts += 1
        self.id = f'i-{Server.starts:08x}'
        self.born = int(time.time() * 1000)
        self.orders = 0
        self.layers = (0, 0)
        self._listener = await asyncio.start_server(
            self._serve, HOST, self.port
        )
        self.port = self._listener.sockets[0].getsockname()[1]
        self.is_up = True
        self.record.add(
            'server_started', id=self.id, service=self.service,
            address=self.address, zone=self.zone,
        )
        await self.write_entry()

    async def write_entry(self):
        entry = {
            'service_name': self.service,
            'address': self.address,
            'availability_zone': self.zone,
            'version': 'v1',
            'concurrency_slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence_number': self.orders,
            'born': self.born,
        }
        if self.kind:
            entry['route_kind'] = self.kind
            first, end = self.layers
            entry['layers'] = {'from': first, 'target': end, 'version': 1}
            entry['stage'] = 'both'
        await self.store.put(f'servers/{self.id}', entry)

    def crash(self, back_s):
        """Ends at once, and starts anew after ``back_s`` seconds."""
        if not self.is_up:
            return
        self.is_up = False
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.add('server_crashed', id=self.id)
        asyncio.create_task(self._forget(self.id))
        asyncio.create_task(self._restart(back_s))

    def end(self):
        """Ends for good; its entry is removed by the caller."""
        self.is_up = False
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.record.add('server_ended', id=self.id)

    async def _forget(self, gone):
        """The store removes the entry after three intervals of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.store.remove(f'servers/{gone}')

    async def _restart(self, back_s):
        await asyncio.sleep(back_s)
        await self.start()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                head.body = await read_body(reader, head.headers)
                if not await self._answer(head, writer):
                    break
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        path = request.first.split(' ')[1]
        if path == '/report':
            writer.write(answer_bytes(200, self._report(), self.said()))
            return True
        if path == '/order':
            status = await self._order(json.loads(request.body))
            writer.write(answer_bytes(status, b'{}', self.said()))
            return True
        expected = request.headers.get('x-cactusmux-expected-instance')
        if expected not in (None, self.id):
            self.record.add('server_421', id=self.id, expected=expected)
            writer.write(
                answer_bytes(421, b'', {'X-Cactusmux-Instance-Id': self.id})
            )
            return True
        self.record.add(
            'server_got', server=self.id, path=path,
            request=request.headers.get('x-cactusmux-request-id'),
        )
        return await self.run(self, request, writer)

    def said(self):
        return {'Server-Leaving': '1'} if self.leaving else {}

    def seal(self, request):
        return {
            'X-Cactusmux-Request-Id': request.headers.get(
                'x-cactusmux-request-id', ''
            ),
            'X-Cactusmux-Response-Seal': f'{self.id}.1',
            **self.said(),
        }

    def _report(self):
        first, end = self.layers
        return json.dumps(
            {
                'stage': 'both',
                'models': [],
                'busy': False,
                'sequence_number': self.orders,
                'waiting': 0,
                'running': 0,
                'kv_cache_used': 0,
                'kv_cache_total': 50000,
                'handles': 0,
                'pace': 1.0,
                'layers': {'from': first, 'target': end, 'version': 1},
                'born': self.born,
            }
        ).encode()

    async def _order(self, order):
        if order.get('operation') != 'place':
            return 404
        if order.get('expected', self.orders) != self.orders:
            return 409
        self.orders += 1
        self.layers = (order['from'], order['target'])
        self.record.add('order', server=self.id, layers=self.layers)
        await self.write_entry()
        return 202


async def run_plain(server, request, writer, work_s=0.06):
    """Runs a short request."""
    await asyncio.sleep(work_s)
    writer.write(answer_bytes(200, b'x' * 800, server.seal(request)))
    return True


async def run_stream(server, request, writer, events=10, gap_s=0.04):
    """Writes a sound stream."""
    lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
    lines += ['Transfer-Encoding: chunked']
    lines += [f'{k}: {v}' for k, v in server.seal(request).items()]
    await asyncio.sleep(0.05)
    writer.write('\r\n'.join([*lines, '', '']).encode())
    first = int(request.headers.get('last-event-id', 0)) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(gap_s)
        data = b'id: %d\ndata: token %d\n\n' % (number, number)
        writer.write(b'%x\r\n%s\r\n' % (len(data), data))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    return True


class Machine:
    """One instance of the router, a process of its own."""

    def __init__(self, store, record, folder, name, zone, ports):
        self.record, self.name = record, name
        front, ready, control, directory, first, last = ports
        self.front = (HOST, front)
        self.ready = (HOST, ready)
        self.metrics = (HOST, last)
        self._settings = pathlib.Path(folder) / f'{name}.conf'
        self._log = pathlib.Path(folder) / f'{name}.log'
        lines = f'''node_name={name}
role=router
machine_class=front
serves=front,directory
ip_address={HOST}
availability_zone={zone}
region=lima-metro
zones.miraflores=lima-metro
zones.barranco=lima-metro
zones.surco=lima-metro
listen_addresses.frontend={HOST}:{front}
listen_addresses.ready={HOST}:{ready}
listen_addresses.control_plane={HOST}:{control}
listen_addresses.directory_service={HOST}:{directory}
internal_port_range={first},{last}
bootstrap=true
limits.cpu_fraction=0.537
limits.cpu_cores=2
limits.memory_mb=300
limits.file_descriptors=4100
limits.link_bandwidth_mbps=1000.0
limits.disk_capacity_mb=0
discovery=platform
entry=directory
heartbeat_interval_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,layers
fault_tolerance.machines=2
bounds.address_reuse_s=2
bounds.stability_window_ms=3000
bounds.acknowledge_ms=4000
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.extra_retries=200
bounds.recovery_s=12
bounds.stall_ms=3000
bounds.ttl_max_s=5
platform_api.address={store.address}
platform_api.form=kv
platform_api.writes_per_s=400
platform_api.reads_per_s=2000
platform_api.history_s=20
platform_api.value_bytes=1048576
platform_api.ttl_min_ms=1000
'''
        self._settings.write_text(lines, encoding='utf-8')
        self.process = None

    async def start(self):
        """Starts `python3 platform`, as the deploy file says."""
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['CACTUSMUX_SETTINGS'] = str(self._settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        with open(self._log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', 'platform', cwd=ROOT, env=env,
                stdout=log, stderr=log,
            )
        self.record.add('machine_started', name=self.name)

    async def await_ready(self, limit_s=15.0):
        until = now() + limit_s
        while now() < until:
            if await status_of(self.ready, '/readiness') == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    def log_lines(self, word):
        text = self._log.read_text(encoding='utf-8', errors='replace')
        return [each for each in text.splitlines() if word in each]


class CannotRun(Exception):
    """The case could not be run; no verdict."""


async def status_of(address, path, timeout_s=1.0):
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(
                    f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode()
                )
                head = await read_head(reader)
                return int(head.first.split(' ')[1])
            finally:
                writer.close()
    except (OSError, EOFError, asyncio.IncompleteReadError):
        return 0


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_complete = False
        self.sent_at = now()
        self.ended_at = 0.0
        self.error = ''


class Client:
    """Sends requests, each on a new channel and with an id of its own."""

    count = 0

    def __init__(self, record, host='ficu95.example', key='key-1'):
        self.record, self.host, self.key = record, host, key

    async def ask(
        self, machine, path, method='POST', body=b'hello', deadline_ms=3000,
        headers=None, patience_s=None,
    ):
        Client.count += 1
        request_id = f'{Client.count:016x}'
        answer = Answer()
        answer.id = request_id
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self.host}',
            f'X-Cactusmux-Request-Id: {request_id}',
            f'X-Cactusmux-Deadline-Milliseconds: {deadline_ms}',
            f'Authorization: Bearer {self.key}',
        ]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        lines += [f'{k}: {v}' for k, v in (headers or {}).items()]
        data = '\r\n'.join([*lines, '', '']).encode()
        if method == 'POST':
            data += body
        self.record.add(
            'client_sent', machine=machine.name, path=path, request=request_id
        )
        limit_s = patience_s or deadline_ms / 1000
        writer = None
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(*machine.front)
                writer.write(data)
                head = await read_head(reader)
                answer.status = int(head.first.split(' ')[1])
                answer.headers = head.headers
                answer.body = await read_body(reader, head.headers, True)
                answer.is_complete = True
        except (OSError, EOFError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
        finally:
            if writer is not None:
                writer.transport.abort()
        answer.ended_at = now()
        self.record.add(
            'client_got', machine=machine.name, request=request_id,
            status=answer.status or answer.error, bytes=len(answer.body),
            after_s=round(answer.ended_at - answer.sent_at, 3),
        )
        return answer


def config(version=7, slow_ms=1500):
    """A desired state with the routes and bounds of a small deployment."""
    host = 'ficu95.example'
    engine = {
        'concurrency_slots': 96,
        'kv_cache_tokens': 50000,
        'kv_token_bytes': 1180000,
        'link_bandwidth_mbps': 400000.0,
        'stride': 4,
        'models': [{'name': 'm', 'pace': 1.0, 'load_s': 0.1}],
        'step_ms': 1.02,
        'per_seq_ms': 0.00918,
        'context_per_k': 0.0123,
        'read_per_s': 164000.0,
        'loads_at_once': 6,
        'usual': {'prompt': 774, 'answer': 210},
        'layers': 8,
        'layer_mb': 1750.0,
        'act_bytes': 59000,
        'pipe_mbps': 19000.0,
        'kinds': [
            {'name': 'a100', 'size_mb': 72000.0, 'pace': 2.4, 'read_x': 3.2}
        ],
    }

    def route(name, prefix, kind, service, attempts, timeout_ms, aim_ms):
        return {
            'name': name,
            'host_name': host,
            'path_prefix': prefix,
            'route_kind': kind,
            'timeout_ms': timeout_ms,
            'target_latency_ms': aim_ms,
            'priority': 1,
            'service_name': service,
            'max_attempts': attempts,
            'anonymous_access': False,
            'session_affinity': kind == 'stream',
            'stream_resumption': kind == 'stream',
            'gap_aim_ms': 250,
        }

    return {
        'version': version,
        'routes': [
            route('r-draft', '/draft/', 'stream', 'drafters', 2, 20000, 500),
            route('r-add', '/add/', 'unsafe', 'registry', 1, slow_ms, 300),
            route('r-read', '/read/', 'safe', 'registry', 2, slow_ms, 300),
        ],
        'services': [
            {
                'name': 'drafters',
                'health_check_path': '/health',
                'connection_limit': 908,
                'engine': engine,
            },
            {
                'name': 'registry',
                'health_check_path': '/health',
                'connection_limit': 51,
            },
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [
            {'name': 'hule930', 'api_keys': ['key-1'], 'priority': 1},
            {'name': 'lohu930', 'api_keys': ['key-2'], 'priority': 1},
        ],
    }


ZONES = ('miraflores', 'barranco', 'surco')


class World:
    """Store, servers and machines of one case."""

    def __init__(self, record, folder):
        self.record, self.folder = record, folder
        self.store = Store()
        self.machines = []
        self.servers = []

    async def begin(self, machines, plain=3, models=0, run_model=run_stream,
                    run_registry=run_plain):
        await self.store.start()
        await self.store.put('op/config', config())
        for number in range(plain):
            server = Server(
                self.store, self.record, 'registry', ZONES[number % 3],
                run_registry,
            )
            self.servers.append(server)
        for number in range(models):
            server = Server(
                self.store, self.record, 'drafters', ZONES[number % 3],
                run_model, 'a100', 8,
            )
            self.servers.append(server)
        for server in self.servers:
            await server.start()
        ports = free_ports(6 * machines)
        for number in range(machines):
            machine = Machine(
                self.store, self.record, self.folder, f'front-{number + 1}',
                ZONES[number % 3], ports[6 * number : 6 * number + 6],
            )
            self.machines.append(machine)
            await machine.start()
        for machine in self.machines:
            await machine.await_ready()

    async def end(self):
        for machine in self.machines:
            await machine.stop()


def main(play, trouble):
    """Runs a case; exits with 1 if the rule was broken, 0 if it held.

    :param trouble: whether to play the disruption.
    """
    place = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(place / 'record.txt')

    async def run():
        # A stop from outside ends the machines, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        with tempfile.TemporaryDirectory() as folder:
            world = World(record, folder)
            try:
                async with asyncio.timeout(110):
                    return await play(world, trouble)
            finally:
                await world.end()
                if os.environ.get('KEEP_LOGS'):
                    target = pathlib.Path(os.environ['KEEP_LOGS'])
                    for path in pathlib.Path(folder).glob('*.log'):
                        (target / path.name).write_bytes(path.read_bytes())

    try:
        broken = asyncio.run(run())
    except (CannotRun, TimeoutError, asyncio.CancelledError) as error:
        record.add('cannot_run', cause=repr(error))
        print(f'cannot run: {error!r}')
        sys.exit(2)
    verdict = 'broken' if broken else 'held'
    record.add('verdict', rule=verdict, why=broken or '-')
    print(f'rule {verdict}: {broken or "-"}')
    record.close()
    sys.exit(1 if broken else 0)
