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
        answerer.answer(status, JSON_HEADERS, data)

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
                'current_rev': snapshot.revision,
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
        watched = self.memory.watch(
            query['path_prefix'],
            int(query['after']),
            int(query['wait_ms']) / MS_PER_S,
        ).unwrap()
        events = []
        for change in watched.changes:
            if change.entry is not None:
                events.append(_item(change.entry))
                continue
            deletion = {'key': change.key, 'revision': change.revision}
            events.append({**deletion, 'tombstone': True})
        return 200, {'events': events, 'current_rev': watched.revision}

    def _transact(self, body):
        (expected,) = body['expected']
        if body['deletes']:
            done = self.memory.delete(expected['key'], expected['revision'])
        else:
            (write,) = body['writes']
            done = self.memory.compare_and_swap(
                write['key'],
                base64.b64decode(write['value']),
                expected['revision'],
                write.get('lease', 0),
            )
        match done:
            case result.Success(stores.Entry() as entry):
                return 200, {'revision': entry.revision}
            case result.Success(revision):
                return 200, {'revision': revision}
            case result.Failure(stores.Conflict() as conflict):
                found = [conflict.found] if conflict.found else []
                return 412, {'items': [_item(each) for each in found]}
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
