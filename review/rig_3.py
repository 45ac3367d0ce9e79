"""Stand-ins for a small deployment: platform store, servers, clients, and the
start of the project's instances as processes of their own."""

import asyncio
import base64
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
HOST = 'fleet.example'
KEY = 'key-almaty-0001'
TENANT = 'almaty-retail'
STORE_DELAY_S = 0.004
DESCRIPTORS = 8192


def _raise_descriptor_limit():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = DESCRIPTORS if hard < 0 else min(DESCRIPTORS, hard)
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))




def free_port(ip='127.0.0.1'):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


async def read_head(reader):
    """Returns the start line and the headers of a message, None at its end."""
    try:
        data = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError,
            asyncio.LimitOverrunError):
        return None
    lines = data.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            line = await reader.readline()
            size = int(line.split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return body
            body += data[:-2]
    length = int(headers.get('content-length', 0))
    return await reader.readexactly(length) if length else b''


def encode(status, headers, body=b''):
    lines = [f'HTTP/1.1 {status} S']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


_raise_descriptor_limit()


def _end_unrun(kind, error, trace):
    """A case that fails by itself couldn't run; it shows nothing."""
    sys.__excepthook__(kind, error, trace)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = _end_unrun
# The tasks of a case end its processes.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


class HttpStub:
    """An HTTP server whose subclass answers each request."""

    def __init__(self, ip='127.0.0.1', port=0):
        self.ip, self.port = ip, port or free_port(ip)
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self.server = await asyncio.start_server(
            self._connection, self.ip, self.port, limit=1 << 20, backlog=1024
        )

    async def stop(self):
        """Ends as a killed process does: channels are reset or closed."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, path, _ = line.split(' ', 2)
                if not await self.serve(
                    method, path, headers, reader, writer
                ):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return
        except asyncio.CancelledError:
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, method, path, headers, reader, writer):
        raise NotImplementedError


class Store(HttpStub):
    """The platform's store, by PROTOCOL.md."""

    def __init__(self, ip='127.0.0.1', port=0):
        super().__init__(ip, port)
        self.rev = 100
        self.items = {}
        self.log = []
        self.compacted = 0
        self.leases = {}
        self.next_lease = 1
        self.era = 0
        self.changed = asyncio.Condition()
        self.mode = 'up'
        self.calls = []

    # State

    def _commit(self, writes, deletes):
        self.rev += 1
        for key, value, lease in writes:
            old = self.items.get(key)
            self.items[key] = {
                'key': key, 'value': value, 'revision': self.rev,
                'created_rev': old['created_rev'] if old else self.rev,
                'lease': lease,
            }
            self.log.append((self.rev, dict(self.items[key])))
        for key in deletes:
            if self.items.pop(key, None):
                self.log.append((self.rev, {
                    'key': key, 'revision': self.rev, 'tombstone': True,
                }))

    async def _notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def put(self, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._commit([(key, base64.b64encode(data).decode(), 0)], [])
        await self._notify()

    async def remove(self, key):
        self._commit([], [key])
        await self._notify()

    def snapshot(self):
        return (self.rev, {k: dict(v) for k, v in self.items.items()},
                dict(self.leases), self.next_lease, list(self.log))

    async def restore(self, copy):
        """Comes back from a copy: the era rises, revisions go back."""
        self.rev, items, leases, self.next_lease, self.log = copy
        self.items = {k: dict(v) for k, v in items.items()}
        self.leases = dict(leases)
        self.log = list(self.log)
        self.era += 1
        for writer in list(self.writers):
            writer.transport.abort()
        await self._notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            ended = [k for k, v in self.leases.items() if v[0] <= now]
            for lease in ended:
                await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v['lease'] == lease]
        if keys:
            self._commit([], keys)
            await self._notify()

    # Calls

    async def serve(self, method, path, headers, reader, writer):
        body = await read_body(reader, headers)
        await asyncio.sleep(STORE_DELAY_S)
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        if self.mode == 'reset':
            writer.transport.abort()
            return False
        if self.mode == 'busy':
            writer.write(encode(503, self._headers()))
            return True
        status, answer = await self._call(method, path, body)
        if self.mode == 'silent':
            await asyncio.sleep(3600)
        writer.write(encode(status, self._headers(), json.dumps(answer).encode()))
        await writer.drain()
        return True

    def _headers(self):
        headers = {'Content-Type': 'application/json'}
        if self.era:
            headers['Store-Era'] = str(self.era)
        return headers

    async def _call(self, method, path, body):
        name, _, query = path.partition('?')
        query = dict(parse.parse_qsl(query))
        name = name.strip('/')
        if name == 'kv-key':
            item = self.items.get(query['key'])
            if item:
                return 200, {**item, 'current_rev': self.rev}
            return 404, {'current_rev': self.rev}
        if name == 'kv-range':
            keys = sorted(k for k in self.items
                          if k.startswith(query['path_prefix'])
                          and k > query.get('after', ''))
            page = [self.items[k] for k in keys[:500]]
            return 200, {'items': page, 'more_pages': len(keys) > 500,
                         'current_rev': self.rev}
        if name == 'kv-watch':
            return await self._watch(query)
        data = json.loads(body or b'{}')
        if name == 'kv-txn':
            return await self._txn(data)
        if name == 'kv-lease':
            lease = self.next_lease
            self.next_lease += 1
            ttl = data['ttl_ms'] / 1000
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {'lease': lease, 'ttl_ms': data['ttl_ms']}
        if name.startswith('kv-keep/'):
            lease = int(name.split('/')[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {'lease': lease, 'ttl_ms': int(ttl * 1000)}
        if name.startswith('kv-lease-end/'):
            lease = int(name.split('/')[1])
            if lease not in self.leases:
                return 404, {}
            await self._end_lease(lease)
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query['path_prefix']
        until = time.monotonic() + int(query['wait_ms']) / 1000
        era = self.era
        if after > self.rev or after < self.compacted:
            return 410, {'current_rev': self.rev}
        while True:
            found = [e for r, e in self.log
                     if r > after and e['key'].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0 or self.era != era:
                return 200, {'events': found, 'current_rev': self.rev}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _txn(self, data):
        expected = data.get('expected', [])
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                items = [self.items[r['key']] for r in expected
                         if r['key'] in self.items]
                return 412, {'items': items}
        for write in data.get('writes', []):
            lease = write.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            if write['key'].startswith(('op/', 'servers/')):
                return 403, {}
        self._commit([(w['key'], w['value'], w.get('lease', 0))
                      for w in data.get('writes', [])],
                     data.get('deletes', []))
        await self._notify()
        return 200, {'revision': self.rev}


class Server(HttpStub):
    """A server of a plain service; ``work`` may be replaced."""

    def __init__(self, world, server_id, service, ip, slots=6):
        super().__init__(ip)
        self.world, self.id, self.service = world, server_id, service
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.work_s = 0.05
        self.sequence = 0
        self.layers = {'from': 0, 'target': 0, 'version': 1}
        self.card = ''
        self.seal = 0

    def entry(self):
        entry = {
            'service_name': self.service, 'address': self.address,
            'availability_zone': 'za', 'version': 'v1',
            'concurrency_slots': self.slots, 'state': self.state,
            'cold_remaining_ms': 0, 'sequence_number': self.sequence,
            'born': self.born,
        }
        if self.card:
            entry |= {'route_kind': self.card, 'layers': self.layers,
                      'stage': 'both', 'models': [
                          {'name': 'm0', 'version': 1, 'adapters': []}]}
        return entry

    async def register(self):
        await self.world.store.put(f'servers/{self.id}', self.entry())

    def answer_headers(self, headers):
        self.seal += 1
        found = {'X-Cactusmux-Response-Seal': f'{self.id}.{self.seal}'}
        if 'x-cactusmux-request-id' in headers:
            found['X-Cactusmux-Request-Id'] = headers['x-cactusmux-request-id']
        return found

    async def serve(self, method, path, headers, reader, writer):
        if path == '/health':
            writer.write(encode(200 if self.state == 'ready' else 503,
                                {'X-Cactusmux-Instance-Id': self.id}))
            return True
        expected = headers.get('x-cactusmux-expected-instance', self.id)
        if path == '/report':
            await self.report(headers, reader, writer)
            return True
        if path == '/order':
            return await self.order(headers, reader, writer)
        if expected != self.id:
            await read_body(reader, headers)
            writer.write(encode(421, {'X-Cactusmux-Not-Executed': '1'}))
            return True
        return await self.work(method, path, headers, reader, writer)

    async def work(self, method, path, headers, reader, writer):
        body = await read_body(reader, headers)
        rid = headers.get('x-cactusmux-request-id')
        self.world.note('run', server=self.id, id=rid, path=path,
                        tenant=headers.get('x-cactusmux-tenant'))
        await asyncio.sleep(self.work_s)
        answer = f'done {rid} {len(body)}'.encode()
        writer.write(encode(200, self.answer_headers(headers), answer))
        await writer.drain()
        return True

    async def report(self, headers, reader, writer):
        report = {'stage': 'both', 'models': [], 'busy': False,
                  'sequence_number': self.sequence, 'waiting': 0,
                  'running': 0, 'kv_cache_used': 0, 'kv_cache_total': 100000,
                  'handles': 0, 'pace': 1.0, 'born': self.born,
                  'layers': self.layers, 'route_kind': self.card}
        writer.write(encode(200, {'Content-Type': 'application/json'},
                            json.dumps(report).encode()))

    async def order(self, headers, reader, writer):
        body = json.loads(await read_body(reader, headers))
        self.world.note('order', server=self.id, body=body)
        if body['operation'] == 'repath':
            writer.write(encode(404, {}))
            return True
        if body.get('expected', self.sequence) != self.sequence:
            writer.write(encode(409, {}))
            return True
        self.sequence += 1
        self.layers = {'from': body['from'], 'target': body['target'],
                       'version': 1}
        writer.write(encode(202, {}))
        await self.register()
        return True


class Engine(Server):
    """A model server that writes ``pieces`` events, one each ``pause_s``."""

    def __init__(self, world, server_id, service, ip, card='big'):
        super().__init__(world, server_id, service, ip, slots=96)
        self.card = card
        self.pieces = 20
        self.pause_s = 0.03
        self.first_s = 0.05

    async def work(self, method, path, headers, reader, writer):
        await read_body(reader, headers)
        rid = headers.get('x-cactusmux-request-id')
        self.world.note('run', server=self.id, id=rid, path=path,
                        hops=headers.get('x-cactusmux-hop-count'),
                        after=headers.get('last-event-id'),
                        tenant=headers.get('x-cactusmux-tenant'))
        await asyncio.sleep(self.first_s)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked']
        lines += [f'{k}: {v}' for k, v in self.answer_headers(headers).items()]
        writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode())
        first = int(headers.get('last-event-id', 0)) + 1
        for number in range(first, self.pieces + 1):
            data = f'id: {number}\ndata: {rid}.{number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def routes():
    return [
        {'name': 'orders', 'host_name': HOST, 'path_prefix': '/orders/',
         'route_kind': 'unsafe', 'timeout_ms': 1500, 'target_latency_ms': 300,
         'priority': 2, 'service_name': 'registry', 'max_attempts': 1},
        {'name': 'records', 'host_name': HOST, 'path_prefix': '/records/',
         'route_kind': 'safe', 'timeout_ms': 1500, 'target_latency_ms': 300,
         'priority': 2, 'service_name': 'registry', 'max_attempts': 2},
        {'name': 'drafts', 'host_name': HOST, 'path_prefix': '/drafts/',
         'route_kind': 'stream', 'timeout_ms': 20000,
         'target_latency_ms': 500, 'priority': 1, 'service_name': 'drafters',
         'max_attempts': 2, 'stream_resumption': True,
         'session_affinity': True, 'gap_aim_ms': 250},
    ]


def config(version=1, with_engines=True):
    services = [{'name': 'registry', 'health_check_path': '/health',
                 'connection_limit': 51}]
    found = routes()
    if with_engines:
        services.append({
            'name': 'drafters', 'health_check_path': '/health',
            'connection_limit': 908, 'engine': {
                'concurrency_slots': 96, 'kv_token_bytes': 590000.0,
                'models': [{'name': 'm0', 'load_s': 0.1}], 'step_ms': 1.02,
                'per_seq_ms': 0.00459, 'context_per_k': 0.00615,
                'read_per_s': 164000.0, 'loads_at_once': 6,
                'act_bytes': 29500.0, 'pipe_mbps': 19000.0, 'stride': 4,
                'usual': {'prompt': 760, 'answer': 170}, 'layers': 80,
                'layer_mb': 1750.0, 'kinds': [
                    {'name': 'big', 'size_mb': 300000.0, 'pace': 2.4,
                     'read_x': 3.2}]}})
    else:
        found = found[:2]
    return {'version': version, 'routes': found, 'services': services,
            'limits': {'max_header_bytes': 16384,
                       'max_body_bytes': 4194304,
                       'header_timeout_ms': 3000.0,
                       'idle_timeout_ms': 15000.0},
            'tenants': [{'name': TENANT, 'api_keys': [KEY]}]}


class Instance:
    """One process of the project, as the deploy file runs it."""

    def __init__(self, world, name, ip, memory_mb=300, descriptors=4100):
        self.world, self.name, self.ip = world, name, ip
        self.ports = {n: free_port(ip) for n in
                      ('frontend', 'ready', 'directory_service')}
        while True:
            self.internal = free_port(ip)
            if self.internal < 60000:
                break
        self.memory_mb, self.descriptors = memory_mb, descriptors
        self.store_address = world.store.address
        self.process = None
        self.log_path = world.folder / f'{name}.log'

    @property
    def address(self):
        return self.ip, self.ports['frontend']

    def settings(self):
        listen = '\n'.join(f'listen_addresses.{n}={self.ip}:{p}'
                           for n, p in self.ports.items())
        return f'''node_name={self.name}
role=router
machine_class=front
serves=front,directory
ip_address={self.ip}
availability_zone=za
region=ra
zones.za=ra
{listen}
internal_port_range={self.internal},{self.internal + 15}
bootstrap=true
limits.cpu_fraction=0.537
limits.cpu_cores=2
limits.memory_mb={self.memory_mb}
limits.file_descriptors={self.descriptors}
limits.link_bandwidth_mbps=1000.0
discovery=platform
entry=directory
heartbeat_interval_ms=1200
bounds.stability_window_ms=3000
bounds.drain_ms=2000
bounds.grace_period_s=8
bounds.config_apply_ms=2000
bounds.retry_budget_ratio=0.2
bounds.retry_window_s=10
bounds.extra_retries=200
bounds.ttl_max_s=5
platform_api.address={self.store_address}
platform_api.form=kv
platform_api.writes_per_s=400
platform_api.reads_per_s=2000
platform_api.history_s=20
platform_api.value_bytes=1048576
platform_api.ttl_min_ms=1000
'''

    def start(self):
        path = self.world.folder / f'{self.name}.conf'
        path.write_text(self.settings())
        env = {'PATH': os.environ.get('PATH', ''), 'HOME': '/tmp',
               'LANG': 'C.UTF-8', 'PYTHONDONTWRITEBYTECODE': '1',
               'PYTHONPATH': str(ROOT / 'target' / 'deps'),
               'CACTUSMUX_SETTINGS': str(path)}
        self.log = open(self.log_path, 'ab')
        self.process = subprocess.Popen(
            [sys.executable, 'platform'], cwd=ROOT, env=env,
            stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)

    def rss_mb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0.0

    async def ready(self, within_s=20):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            try:
                reply = await request(self.ip, self.ports['ready'], 'GET',
                                      '/readiness', timeout=1)
                if reply and reply.status == 200:
                    return True
            except OSError:
                pass
            await asyncio.sleep(0.1)
        return False


class Reply:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers = status, headers
        self.body, self.whole = body, whole

    def __repr__(self):
        return (f'{self.status} whole={self.whole} '
                f'seal={self.headers.get("x-cactusmux-response-seal")}')


def request_bytes(method, path, headers=None, body=b'', rid='', key=KEY):
    lines = [f'{method} {path} HTTP/1.1', f'Host: {HOST}']
    if rid:
        lines.append(f'X-Cactusmux-Request-Id: {rid}')
    if key:
        lines.append(f'Authorization: Bearer {key}')
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    for name, value in (headers or {}).items():
        lines.append(f'{name}: {value}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


async def read_reply(reader, on_data=None):
    head = await read_head(reader)
    if head is None:
        return None
    line, headers = head
    status = int(line.split()[1])
    body, whole = b'', True
    try:
        if 'chunked' in headers.get('transfer-encoding', ''):
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                data = await reader.readexactly(size + 2)
                if not size:
                    break
                body += data[:-2]
                if on_data:
                    on_data(data[:-2])
        else:
            body = await reader.readexactly(
                int(headers.get('content-length', 0)))
    except (asyncio.IncompleteReadError, ValueError, ConnectionError) as error:
        body += getattr(error, 'partial', b'')
        whole = False
    return Reply(status, headers, body, whole)


async def request(ip, port, method, path, headers=None, body=b'', rid='',
                  key=KEY, timeout=25):
    """Sends one request on a new channel; None if it ends unanswered."""
    async def run():
        reader, writer = await asyncio.open_connection(ip, port, limit=1 << 20)
        try:
            writer.write(request_bytes(method, path, headers, body, rid, key))
            return await read_reply(reader)
        except (ConnectionError, OSError):
            return None
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return None


class World:
    def __init__(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.begun = time.monotonic()
        self.notes = []
        self.store = Store()
        self.servers = []
        self.instances = []
        self.tasks = []

    def note(self, what, **fields):
        self.notes.append((round(time.monotonic() - self.begun, 4), what, fields))

    def runs(self, rid):
        return [n for n in self.notes
                if n[1] == 'run' and n[2].get('id') == rid]

    async def start(self, plain=3, engines=0, instances=1, version=1, **kw):
        await self.store.start()
        self.tasks.append(asyncio.create_task(self.store.expire()))
        await self.store.put('op/config', config(version, engines > 0))
        for number in range(plain):
            self.servers.append(Server(self, f'i-reg{number}', 'registry',
                                       f'127.0.1.{number + 1}'))
        for number in range(engines):
            self.servers.append(Engine(self, f'i-eng{number}', 'drafters',
                                       f'127.0.2.{number + 1}'))
        for each in self.servers:
            await each.start()
            await each.register()
        for number in range(instances):
            each = Instance(self, f'front-za-{number + 1}',
                            f'127.0.0.{number + 11}', **kw)
            self.instances.append(each)
            self.prepare(each)
            each.start()
        for each in self.instances:
            if not await each.ready():
                return False
        return True

    def prepare(self, instance):
        """Called before an instance starts; a case may replace it."""

    async def stop(self):
        for each in self.instances:
            if each.process and each.process.poll() is None:
                each.process.kill()
                each.process.wait()
        for task in self.tasks:
            task.cancel()
        await self.store.stop()
        for each in self.servers:
            await each.stop()


class CutProxy:
    """A path to an address that can be cut, as by a partition.

    During a cut, open channels carry nothing and opening packets are dropped:
    the queue of new channels is kept full, so that the kernel drops them and
    the caller's kernel sends them again after seconds. After the cut the
    channels go on where they were.
    """

    def __init__(self, ip, target):
        self.ip, self.target = ip, target
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((ip, 0))
        self.sock.listen(128)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.open = asyncio.Event()
        self.open.set()
        self.fillers = []
        self.tasks = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    def start(self):
        self.tasks.add(asyncio.create_task(self._accept()))

    def stop(self):
        for task in list(self.tasks):
            task.cancel()
        self.sock.close()

    def cut(self):
        self.open.clear()
        self.sock.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.sock.listen(128)
        self.open.set()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.open.wait()
            sock, _ = await loop.sock_accept(self.sock)
            task = asyncio.create_task(self._serve(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _serve(self, sock):
        await self.open.wait()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            onward = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        pumps = [asyncio.create_task(self._pump(reader, onward[1])),
                 asyncio.create_task(self._pump(onward[0], writer))]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            writer.close()
            onward[1].close()

    async def _pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.open.wait()
                if not data:
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            return


class MemoryGuard:
    """What the platform does with a process that exceeds ``memory_mb``.

    It is killed, and started again after a short delay with the settings in
    effect.
    """

    PERIOD_S = 0.02
    RESTART_S = 0.5

    def __init__(self, world):
        self.world = world
        self.ends = {}
        self.peaks = {}
        self.tasks = [asyncio.create_task(self._watch(each))
                      for each in world.instances]
        world.tasks.extend(self.tasks)

    async def _watch(self, instance):
        name = instance.name
        self.ends[name], self.peaks[name] = [], 0.0
        while True:
            await asyncio.sleep(self.PERIOD_S)
            if instance.process.poll() is not None:
                self._record(instance, 'ended by itself')
            else:
                rss = instance.rss_mb()
                self.peaks[name] = max(self.peaks[name], rss)
                if rss <= instance.memory_mb:
                    continue
                instance.process.kill()
                instance.process.wait()
                self._record(instance, f'killed at {rss:.0f} MB')
            await asyncio.sleep(self.RESTART_S)
            instance.start()

    def _record(self, instance, cause):
        self.ends[instance.name].append(cause)
        self.world.note('process_end', instance=instance.name, cause=cause)


def trouble():
    """Whether the case is to run with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def finish(world, folder, verdict, lines):
    """Writes ``record.txt`` and ends the process with the verdict."""
    import shutil
    with open(pathlib.Path(folder) / 'record.txt', 'w') as record:
        record.write(f'trouble: {trouble()}\n')
        record.write(f'verdict: {verdict} (1 broken, 0 held, 2 not run)\n')
        for line in lines:
            record.write(line + '\n')
        for at, what, fields in sorted(world.notes, key=lambda n: n[0]):
            text = ' '.join(f'{k}={v}' for k, v in fields.items())
            record.write(f'{at:9.4f} {what} {text}\n')
    if os.environ.get('KEEP') != '1':
        shutil.rmtree(world.folder, ignore_errors=True)
    for line in lines:
        print(line)
    sys.exit(verdict)
