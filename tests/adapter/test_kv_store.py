"""Tests of the store and engine clients with scripted responses."""

import base64
import time

from adapter import engines
from adapter import kv_store
from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_fakes import scripted_target
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from cactusmux_relay import cost_model
from cactusmux_relay import layer_orders
from cactusmux_relay import targets
import gevent
import msgspec
import pytest
from returns import result

JSON = {'Content-Type': 'application/json'}
VALUE = base64.b64encode(b'node-0').decode()
ITEM = {
    'key': 'my/leader',
    'value': VALUE,
    'revision': 412,
    'created_rev': 400,
    'lease': 77120,
}
ENTRY = stores.Entry('my/leader', b'node-0', 412, 77120)


class _Server:
    """Sends the given responses in order; status 0 closes the connection."""

    def __init__(self, *answers):
        self.responses = list(answers)
        self.target = scripted_target.ScriptedTarget(self._script)

    def _script(self, sock, _request):
        status, body = self.responses.pop(0)
        if status == 0:
            return False
        data = msgspec.json.encode(body)
        sock.sendall(scripted_target.answer(data, status, JSON))
        return True

    @property
    def requests(self):
        return [
            (each.method, each.path, msgspec.json.decode(each.body or b'null'))
            for each in self.target.received
        ]


def _store(*answers):
    server = _Server(*answers)
    eras = store_eras.StoreEras(timers.GeventTimers())
    return kv_store.KvStore(server.target.address, eras), server


def test_get():
    store, server = _store(
        (200, {**ITEM, 'current_rev': 530}), (404, {'current_rev': 530})
    )
    assert store.get('my/leader') == result.Success(ENTRY)
    assert store.get('my/leader') == result.Success(None)
    assert server.requests[0] == ('GET', '/kv-key?key=my%2Fleader', None)


def test_range_reads_all_pages():
    second = {**ITEM, 'key': 'my/second'}
    store, server = _store(
        (200, {'items': [ITEM], 'more_pages': True, 'current_rev': 530}),
        (200, {'items': [second], 'more_pages': False, 'current_rev': 540}),
    )
    snapshot = store.read_prefix('my/').unwrap()
    assert [entry.key for entry in snapshot.entries] == [
        'my/leader',
        'my/second',
    ]
    assert snapshot.position.revision == 530
    assert server.requests[1][1] == (
        '/kv-range?path_prefix=my%2F&after=my%2Fleader'
    )


def test_conditional_write():
    store, server = _store((200, {'revision': 412}))
    written = store.compare_and_swap('my/leader', b'node-0', 0, 77120)
    assert written == result.Success(ENTRY)
    assert server.requests == [
        (
            'POST',
            '/kv-txn',
            {
                'expected': [{'key': 'my/leader', 'revision': 0}],
                'writes': [
                    {'key': 'my/leader', 'value': VALUE, 'lease': 77120}
                ],
                'deletes': [],
            },
        )
    ]


@pytest.mark.parametrize(
    'answer, failure',
    [
        ((412, {'items': [ITEM]}), stores.Conflict('my/leader', 0, ENTRY)),
        ((404, {}), stores.LeaseLost(5)),
        ((503, {}), stores.StoreUnavailable('/kv-txn')),
        ((429, {}), stores.StoreUnavailable('/kv-txn')),
        ((0, {}), stores.OutcomeUnknown('my/leader')),
    ],
)
def test_write_that_fails(answer, failure):
    store, _ = _store(answer)
    written = store.compare_and_swap('my/leader', b'x', 0, 5)
    assert written == result.Failure(failure)


def test_watch():
    store, server = _store(
        (
            200,
            {
                'events': [
                    ITEM,
                    {'key': 'my/old', 'revision': 413, 'tombstone': True},
                ],
                'current_rev': 413,
            },
        ),
        (410, {}),
        (503, {}),
    )
    watched = store.watch('my/', 411, 20.0).unwrap()
    assert watched.position.revision == 413
    assert watched.changes == (
        stores.Change('my/leader', 412, ENTRY),
        stores.Change('my/old', 413, None),
    )
    assert server.requests[0][1] == (
        '/kv-watch?path_prefix=my%2F&after=411&wait_ms=20000'
    )
    compacted = result.Failure(stores.WatchCompacted(413))
    assert store.watch('my/', 413, 1.0) == compacted
    assert isinstance(
        store.watch('my/', 413, 1.0).failure(), stores.StoreUnavailable
    )


def test_leases():
    store, server = _store(
        (200, {'lease': 77120, 'ttl_ms': 3000}),
        (200, {'ttl_ms': 3000}),
        (404, {}),
        (200, {}),
    )
    assert store.grant_lease(3.0) == result.Success(77120)
    assert store.renew_lease(77120) == result.Success(None)
    lost = result.Failure(stores.LeaseLost(77120))
    assert store.renew_lease(77120) == lost
    assert store.revoke_lease(77120) == result.Success(None)
    assert [each[:2] for each in server.requests] == [
        ('POST', '/kv-lease'),
        ('POST', '/kv-keep/77120'),
        ('POST', '/kv-keep/77120'),
        ('DELETE', '/kv-lease-end/77120'),
    ]


def test_write_to_a_stopped_store_did_not_run():
    store, server = _store()
    server.target.stop()
    refused = result.Failure(stores.StoreUnavailable('/kv-txn'))
    assert store.compare_and_swap('k', b'x', 0) == refused


def test_unreadable_item_is_skipped():
    broken = {**ITEM, 'value': '***'}
    body = {'items': [broken, ITEM], 'more_pages': False, 'current_rev': 5}
    store, _ = _store((200, body))
    assert store.get_prefix('my/') == result.Success((ENTRY,))


def _ordered(*answers):
    server = _Server(*answers)
    target = sample_engine.target('i-1', address=server.target.address)
    return engines.EngineOrders(), target, server


def test_order_contains_layers_and_expected_order_number():
    orders, target, server = _ordered((202, {}), (200, {}))
    layers = targets.LayerRange(20, 31)
    assert orders.set_layers(target, layers, 4) == result.Success(None)
    assert orders.set_layers(target, layers, 4) == result.Success(None)
    assert server.requests[0] == (
        'POST',
        '/order',
        {
            'operation': 'place',
            'from': 20,
            'target': 31,
            'strategy': 'cancel',
            'expected': 4,
        },
    )


def test_order_that_fails():
    orders, target, _ = _ordered((409, {}), (0, {}))
    layers = targets.LayerRange(20, 31)
    refused = result.Failure(layer_orders.OrderRefused('i-1', 409))
    assert orders.set_layers(target, layers, 4) == refused
    unanswered = result.Failure(layer_orders.OrderUnanswered('i-1'))
    assert orders.set_layers(target, layers, 4) == unanswered


PATH = tuple(
    cost_model.Stage(
        sample_engine.target(name, address=address),
        targets.LayerRange(first, end),
    )
    for name, address, first, end in (
        ('i-1', '10.0.0.1:80', 0, 31),
        ('i-7', '10.0.0.7:80', 31, 80),
    )
)


def test_order_to_change_a_path():
    orders, target, server = _ordered((202, {}), (200, {}))
    for _ in range(2):
        changed = orders.change_path(target, '9c41', PATH)
        assert changed == result.Success(None)
    assert server.requests[0] == (
        'POST',
        '/order',
        {
            'operation': 'repath',
            'id': '9c41',
            'path': '10.0.0.1:80=0-31,10.0.0.7:80=31-80',
        },
    )


@pytest.mark.parametrize(
    'answer, failure',
    [
        ((404, {}), layer_orders.RequestUnknown('i-1', '9c41')),
        (
            (409, {'address': '10.0.0.7:80'}),
            layer_orders.PartNotThere('i-1', '10.0.0.7:80'),
        ),
        ((409, {}), layer_orders.PartNotThere('i-1', '')),
        ((409, ['torn']), layer_orders.PartNotThere('i-1', '')),
        ((409, {'address': None}), layer_orders.PartNotThere('i-1', '')),
        ((421, {}), layer_orders.OrderRefused('i-1', 421)),
        ((503, {}), layer_orders.OrderRefused('i-1', 503)),
        ((0, {}), layer_orders.OrderUnanswered('i-1')),
    ],
)
def test_order_to_change_a_path_that_fails(answer, failure):
    orders, target, _ = _ordered(answer)
    found = orders.change_path(target, '9c41', PATH).failure()
    assert type(found) is type(failure)
    assert vars(found) == vars(failure)


def test_order_to_change_a_path_times_out():
    """A stream must still be resumable in time after a missing response."""

    def script(sock, _request):
        gevent.sleep(5.0)
        return False

    silent = scripted_target.ScriptedTarget(script)
    target = sample_engine.target('i-1', address=silent.address)
    begun_at = time.monotonic()
    changed = engines.EngineOrders().change_path(target, '9c41', PATH)
    assert isinstance(changed.failure(), layer_orders.OrderUnanswered)
    assert time.monotonic() - begun_at < 2.0 * engines.CHANGE_PATH_S


def test_report():
    body = {
        'stage': 'both',
        'busy': True,
        'sequence_number': 2,
        'pace': 3.0,
        'layers': {'from': 0, 'target': 8, 'version': 1},
    }
    orders, target, _ = _ordered((200, body), (200, {'busy': 'yes'}))
    assert orders.report(target) == result.Success(
        layer_orders.LayerReport(targets.LayerRange(0, 8), 2, True, 3.0)
    )
    unanswered = result.Failure(layer_orders.OrderUnanswered('i-1'))
    assert orders.report(target) == unanswered


def test_report_contains_leaving_flag_and_start_time():
    data = msgspec.json.encode({'born': 1790228837515})
    said = scripted_target.answer(data, 200, {'Server-Leaving': '1'})

    def script(sock, _request):
        sock.sendall(said)
        return False

    server = scripted_target.ScriptedTarget(script)
    target = sample_engine.target('i-1', address=server.address)
    report = engines.EngineOrders().report(target).unwrap()
    assert (report.is_leaving, report.born_ms) == (True, 1790228837515)


@pytest.mark.parametrize('body', [{}, {'revision': None}, ['torn']])
def test_write_with_incomplete_response_has_unknown_outcome(body):
    store, _ = _store((200, body))
    written = store.compare_and_swap('my/leader', b'node-0', 0)
    assert isinstance(written.failure(), stores.OutcomeUnknown)


@pytest.mark.parametrize('body', [{}, {'lease': 'x'}, ['torn']])
def test_lease_with_incomplete_response_is_not_granted(body):
    store, _ = _store((200, body))
    granted = store.grant_lease(4.0)
    assert isinstance(granted.failure(), stores.StoreUnavailable)


def test_page_after_an_unreadable_item_is_read():
    torn = {'key': 'my/torn', 'value': '?', 'revision': 413}
    store, server = _store(
        (200, {'items': [ITEM, torn], 'more_pages': True, 'current_rev': 9}),
        (200, {'items': [], 'more_pages': False, 'current_rev': 9}),
    )
    assert store.get_prefix('my/') == result.Success((ENTRY,))
    assert server.requests[1][1].endswith('after=my%2Ftorn')


def test_watch_with_an_incomplete_event_fails():
    store, _ = _store((200, {'events': [{'tombstone': True}]}))
    watched = store.watch('my/', 5, 0.1)
    assert isinstance(watched.failure(), stores.StoreUnavailable)


class _EraServer:
    """Answers 404 with the given eras in turn; ``None`` for no header."""

    def __init__(self, *eras):
        self.eras = list(eras)
        self.target = scripted_target.ScriptedTarget(self._script)

    def _script(self, sock, _request):
        era = self.eras.pop(0)
        headers = JSON if era is None else {**JSON, 'Store-Era': era}
        sock.sendall(scripted_target.answer(b'{}', 404, headers))
        return True


def test_era_of_each_answer_is_recorded():
    server = _EraServer(None, '0', '1', '2', '1', 'x', '-3', '3')
    eras = store_eras.StoreEras(timers.GeventTimers())
    store = kv_store.KvStore(server.target.address, eras)
    known = []
    while server.eras:
        assert store.get('k') == result.Success(None)
        known.append(eras.current)
    assert known == [0, 0, 1, 2, 2, 2, 2, 3]
    assert eras.change_count == 3


def test_pages_of_two_eras_are_not_joined():
    answers = [('1', True), ('2', False)]

    def script(sock, _request):
        era, more = answers.pop(0)
        body = {'items': [ITEM], 'more_pages': more, 'current_rev': 530}
        data = msgspec.json.encode(body)
        headers = {**JSON, 'Store-Era': era}
        sock.sendall(scripted_target.answer(data, 200, headers))
        return True

    server = scripted_target.ScriptedTarget(script)
    eras = store_eras.StoreEras(timers.GeventTimers())
    store = kv_store.KvStore(server.address, eras)
    failure = store.read_prefix('my/').failure()
    assert isinstance(failure, stores.StoreUnavailable)
    assert eras.current == 2


def test_transaction_with_several_conditions():
    marker = {**ITEM, 'key': 'my/marker', 'revision': 9}
    store, server = _store(
        (200, {'revision': 413}), (412, {'items': [marker]})
    )
    transaction = stores.Transaction(
        (stores.Condition('my/leader', 0), stores.Condition('my/marker', 0)),
        (stores.Write('my/leader', b'node-0', 5),),
    )
    assert store.transact(transaction) == result.Success(413)
    conflict = store.transact(transaction).failure()
    assert (conflict.key, conflict.found.revision) == ('my/marker', 9)
    assert server.requests[0][2] == {
        'expected': [
            {'key': 'my/leader', 'revision': 0},
            {'key': 'my/marker', 'revision': 0},
        ],
        'writes': [{'key': 'my/leader', 'value': VALUE, 'lease': 5}],
        'deletes': [],
    }
