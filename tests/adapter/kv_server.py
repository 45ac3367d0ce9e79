"""A fake of the platform's store: its HTTP API over a store in memory."""

import base64
from urllib import parse

from cactusmux_base import timers
from cactusmux_fakes import memory_store
from cactusmux_platform import stores
from cactusmux_relay import http_server
import msgspec
from returns import result

MS_PER_S = 1000.0
JSON_HEADERS = [(b'content-type', b'application/json')]


class KvServer:
    """Serves the calls used by the adapter."""

    def __init__(self):
        timer = timers.GeventTimers()
        self.memory = memory_store.MemoryStore(timer)
        self._server = http_server.HttpServer(
            '127.0.0.1:0', self._handle, timer
        )
        self._server.start()

    @property
    def address(self):
        """Returns the address on which the store listens."""
        return f'127.0.0.1:{self._server.port}'

    def stop(self):
        """Stops accepting calls."""
        self._server.stop()

    def put(self, key, value):
        """Writes unconditionally, as the operator or a server does."""
        found = self.memory.get(key).unwrap()
        revision = found.revision if found else stores.ABSENT
        data = msgspec.json.encode(value)
        self.memory.compare_and_swap(key, data, revision)

    def _handle(self, request, answerer):
        path, _, query_text = request.path.partition('?')
        query = dict(parse.parse_qsl(query_text))
        body = msgspec.json.decode(request.body or b'{}')
        status, answer = self._call(path, query, body)
        data = msgspec.json.encode(answer)
        era = (b'store-era', str(self.memory.era).encode())
        answerer.answer(status, [*JSON_HEADERS, era], data)

    def _call(self, path, query, body):
        name, _, argument = path.strip('/').partition('/')
        if name == 'kv-key':
            entry = self.memory.get(query['key']).unwrap()
            return (200, _item(entry)) if entry else (404, {})
        if name == 'kv-range':
            snapshot = self.memory.read_prefix(query['path_prefix']).unwrap()
            items = [_item(entry) for entry in snapshot.entries]
            return 200, {
                'items': items,
                'more_pages': False,
                'current_rev': snapshot.position.revision,
            }
        if name == 'kv-watch':
            return self._watch(query)
        if name == 'kv-txn':
            return self._transact(body)
        if name == 'kv-lease':
            lease = self.memory.grant_lease(body['ttl_ms'] / MS_PER_S)
            return 200, {'lease': lease.unwrap(), 'ttl_ms': body['ttl_ms']}
        calls = {
            'kv-keep': self.memory.renew_lease,
            'kv-lease-end': self.memory.revoke_lease,
        }
        done = calls[name](int(argument))
        return (200 if isinstance(done, result.Success) else 404), {}

    def _watch(self, query):
        waited = self.memory.watch(
            query['path_prefix'],
            int(query['after']),
            int(query['wait_ms']) / MS_PER_S,
        )
        if isinstance(waited, result.Failure):
            return 410, {}
        watched = waited.unwrap()
        events = []
        for change in watched.changes:
            if change.entry is not None:
                events.append(_item(change.entry))
                continue
            deletion = {'key': change.key, 'revision': change.revision}
            events.append({**deletion, 'tombstone': True})
        return 200, {
            'events': events,
            'current_rev': watched.position.revision,
        }

    def _transact(self, body):
        conditions = tuple(
            stores.Condition(each['key'], each['revision'])
            for each in body['expected']
        )
        writes = tuple(
            stores.Write(
                each['key'],
                base64.b64decode(each['value']),
                each.get('lease', 0),
            )
            for each in body['writes']
        )
        transaction = stores.Transaction(
            conditions, writes, tuple(body['deletes'])
        )
        match self.memory.transact(transaction):
            case result.Success(revision):
                return 200, {'revision': revision}
            case result.Failure(stores.Conflict()):
                found = [self.memory.get(each.key) for each in conditions]
                present = [each.unwrap() for each in found if each.unwrap()]
                return 412, {'items': [_item(each) for each in present]}
        return 404, {}


def _item(entry):
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.revision,
        'created_rev': entry.revision,
        'lease': entry.lease_id,
        'current_rev': entry.revision,
    }
