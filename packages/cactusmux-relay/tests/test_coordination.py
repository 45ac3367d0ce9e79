import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_fakes import faulty_store
from cactusmux_fakes import memory_store
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_platform import era_guarded_store
from cactusmux_platform import store_eras
from cactusmux_platform import stores
from cactusmux_relay import down_targets
from cactusmux_relay import layer_orders
from cactusmux_relay import leaving_targets
from cactusmux_relay import load_tracker
from cactusmux_relay import membership
from cactusmux_relay import placement_controller
from cactusmux_relay import placement_storage
from cactusmux_relay import request_handling
from cactusmux_relay import retry_budget
from cactusmux_relay import slow_targets
from cactusmux_relay import store_availability
from cactusmux_relay import stored_placement
from cactusmux_relay import target_registry
from cactusmux_relay import target_roster
from cactusmux_relay import targets
import gevent
import msgspec
import pytest
from returns import result

AUTHORITY = lease_types.Authority(7, 1e9, 0.0)


class _Engines(layer_orders.LayerOrders):
    """Targets that execute orders at once, or never."""

    def __init__(self):
        self.layers_by_id = {}
        self.number_by_id = {}
        self.orders = []
        self.is_silent = False
        self.leaving = set()

    def set_layers(self, target, layers, number):
        self.orders.append((target.id, layers, number))
        if self.is_silent:
            return result.Failure(layer_orders.OrderUnanswered(target.id))
        if number != self.number_by_id.get(target.id, 0):
            return result.Failure(layer_orders.OrderRefused(target.id, 409))
        self.number_by_id[target.id] = number + 1
        self.layers_by_id[target.id] = layers
        return result.Success(None)

    def change_path(self, first, request_id, path):
        raise AssertionError('no order is due')

    def report(self, target):
        return result.Success(
            layer_orders.LayerReport(
                self.layers_by_id.get(target.id, targets.NO_LAYERS),
                self.number_by_id.get(target.id, 0),
                False,
                1.0,
                target.id in self.leaving,
            )
        )


class _KeeperHarness:
    """A placement keeper with an in-memory store and reported targets."""

    def __init__(self, store=None, engines=None):
        self.timer = timers.ManualTimers()
        self.store = store or memory_store.MemoryStore(self.timer)
        self.eras = store_eras.StoreEras(self.timer)
        self.engines = engines or _Engines()
        self.authority = AUTHORITY
        self.is_alone = False
        self.registry = target_registry.TargetRegistry()
        self.members = {each.id: each for each in sample_engine.pool()}
        self.in_force = request_handling.ConfigurationInForce()
        self.in_force.replace(relay_rig.make_desired_state())
        self.down = down_targets.DownTargets(self.timer, random.Random(1))
        self.keeper = placement_controller.PlacementController(
            placement_storage.PlacementStorage(self.store, self.eras),
            self.in_force,
            self.registry,
            self.engines,
            lambda for_s: self.authority,
            self.timer,
            metrics.MemoryMetrics(),
            random.Random(1),
            self._note,
            self.down,
            slow_targets.SlowTargets(self.engines, self.timer),
            lambda: self.is_alone,
        )
        self._publish()

    def _note(self, target):
        self.members[target.id] = target
        self._publish()

    def _publish(self):
        state = self.in_force.state
        self.registry.replace(self.members.values(), state.service_by_name)

    def step(self):
        self.keeper.step()
        gevent.idle()
        gevent.sleep(0)
        gevent.sleep(0.001)

    def settle(self):
        self.step()
        self.timer.advance(placement_controller.STABLE_POOL_S + 0.1)
        for _ in range(12):
            self.step()
            self.timer.advance(placement_controller.ORDER_INTERVAL_S)

    def lose(self, target_id):
        del self.members[target_id]
        self._publish()

    def restart(self, target_id):
        old = self.members[target_id]
        empty = old._replace(born_ms=old.born_ms + 1, layers=targets.NO_LAYERS)
        self.members[target_id] = empty
        self.engines.layers_by_id.pop(target_id, None)
        self.engines.number_by_id.pop(target_id, None)
        self._publish()


@pytest.fixture(name='keeping')
def _keeping():
    return _KeeperHarness()


def test_first_placement_waits_until_no_more_targets_join(keeping):
    keeping.step()
    assert keeping.engines.orders == []
    keeping.settle()
    graph = keeping.registry.graph(sample_engine.SERVICE)
    path = graph.cheapest(lambda segment: 1.0, lambda zone, other: 0.0)
    assert path is not None


def test_without_authority_nothing_is_ordered(keeping):
    keeping.authority = None
    keeping.settle()
    assert keeping.engines.orders == []


def test_next_lease_holder_continues_the_stored_placement(keeping):
    keeping.settle()
    orders = len(keeping.engines.orders)
    following = _KeeperHarness(keeping.store, keeping.engines)
    following.members = keeping.members
    following._publish()
    following.settle()
    assert len(keeping.engines.orders) == orders


def test_stored_placement_is_kept_even_if_another_is_better(keeping):
    large = [each for each in sample_engine.pool() if each.card == 'a100']
    rows = [
        (target.id, first, first + 20)
        for target, first in zip(large, range(0, 80, 20), strict=True)
    ]
    stored = stored_placement.StoredPlacement([rows])
    key = placement_storage.PREFIX + sample_engine.SERVICE
    keeping.store.compare_and_swap(key, msgspec.json.encode(stored), 0)
    keeping.settle()
    ordered = {target_id for target_id, _, _ in keeping.engines.orders}
    assert ordered == {target.id for target in large}


def test_restarted_target_gets_its_order_again_or_is_replaced(keeping):
    keeping.settle()
    lost = keeping.engines.orders[0][0]
    keeping.restart(lost)
    keeping.settle()
    graph = keeping.registry.graph(sample_engine.SERVICE)
    assert graph.cheapest(lambda segment: 1.0, lambda zone, other: 0.0)


def test_lost_target_is_replaced(keeping):
    keeping.settle()
    before = len(keeping.engines.orders)
    keeping.lose(keeping.engines.orders[3][0])
    keeping.settle()
    assert len(keeping.engines.orders) > before


def test_layers_stay_while_only_one_instance_finds_a_target_down(
    keeping,
):
    """One false detection must not make 9 healthy targets unload layers."""
    keeping.settle()
    before = len(keeping.engines.orders)
    target = keeping.members[keeping.engines.orders[3][0]]
    keeping.down.mark(target, 'overtaken by others', is_refused=False)
    keeping.settle()
    assert len(keeping.engines.orders) == before
    keeping.down.record_peer_report(target)
    keeping.step()
    keeping.step()
    assert len(keeping.engines.orders) > before


def test_target_that_announced_leaving_is_replaced_without_orders(keeping):
    keeping.settle()
    leaving = keeping.members[keeping.engines.orders[3][0]]
    before = len(keeping.engines.orders)
    keeping.registry.record_leaving(
        leaving.start, leaving_targets.Source.ANSWER
    )
    keeping.settle()
    later = [target_id for target_id, _, _ in keeping.engines.orders[before:]]
    assert later
    assert leaving.id not in later
    graph = keeping.registry.graph(sample_engine.SERVICE)
    assert graph.cheapest(lambda segment: 1.0, lambda zone, other: 0.0)


def test_target_that_reports_leaving_before_its_order_gets_none(
    keeping,
):
    keeping.engines.leaving = set(keeping.members)
    keeping.settle()
    assert keeping.engines.orders == []


def test_orders_are_bound_to_the_number_that_was_reported(keeping):
    keeping.settle()
    for target_id, _, number in keeping.engines.orders:
        assert number < keeping.engines.number_by_id[target_id]


def test_unreadable_placement_is_computed_again(keeping):
    key = placement_storage.PREFIX + sample_engine.SERVICE
    keeping.store.compare_and_swap(key, b'torn', 0)
    keeping.settle()
    assert keeping.engines.orders


def test_retry_budget_of_all_instances_stays_within_its_limit():
    timer = timers.ManualTimers()
    budgets = [
        retry_budget.RetryBudget(timer, 0.2, 200.0, 10.0) for _ in range(8)
    ]
    repeats = 0
    for budget in budgets:
        budget.set_instances(8)
        for _ in range(50):
            budget.record_request('s')
        repeats += sum(budget.take('s') for _ in range(1000))
    assert 0.5 * (0.2 * 400 + 200) < repeats <= 0.2 * 400 + 200


def test_retry_budget_is_renewed_with_the_window():
    timer = timers.ManualTimers()
    budget = retry_budget.RetryBudget(timer, 0.0, 10.0, 10.0)
    budget.set_instances(1)
    assert sum(budget.take('s') for _ in range(1000)) < 1000
    timer.advance(10.1)
    assert budget.take('s')


def test_retry_that_reached_no_target_is_released():
    budget = retry_budget.RetryBudget(timers.ManualTimers(), 0.0, 2.0, 10.0)
    budget.set_instances(1)
    assert budget.take('s')
    assert not budget.has_left('s')
    budget.give_back('s')
    assert budget.has_left('s')
    budget.give_back('s')
    assert budget.take('s')
    assert not budget.take('s')


def test_loads_of_a_silent_instance_expire():
    timer = timers.ManualTimers()
    tracker = load_tracker.LoadTracker(timer)
    tracker.add(['t'], 100.0)
    reported = load_tracker.InstanceLoads({'t': 50.0}, {'t': 1}, {'a b': 10.0})
    tracker.record_peer_loads('other', reported)
    loads = tracker.all_loads({})
    assert loads.tokens_by_target == {'t': 150.0}
    assert loads.requests_by_target == {'t': 2}
    assert loads.pipe_tokens == {('a', 'b'): 10.0}
    timer.advance(load_tracker.PEER_LOAD_LIFETIME_S + 0.1)
    assert tracker.all_loads({}).tokens_by_target == {'t': 100.0}
    tracker.remove(['t'], 100.0)
    assert tracker.all_loads({}).tokens_by_target == {}


def test_registration_lasts_as_long_as_its_lease():
    timer = timers.ManualTimers()
    store = memory_store.MemoryStore(timer)
    own = membership.Instance('i', 'a', 'r', '10.0.0.1:80', '10.0.0.1:81')
    registration = membership.Registration(
        store,
        timer,
        own,
        store_availability.StoreAvailability(timer),
        store_eras.StoreEras(timer),
    )
    assert registration._register()
    entries = list(store.get_prefix(membership.PREFIX).unwrap())
    assert membership.decode_instances(entries) == [own]
    timer.advance(membership.LEASE_TTL_S + 0.1)
    assert store.get_prefix(membership.PREFIX).unwrap() == ()
    assert not registration._renew(registration._registered)
    assert registration._register()


def test_unreadable_instance_entry_is_left_out():
    timer = timers.ManualTimers()
    store = memory_store.MemoryStore(timer)
    store.compare_and_swap(membership.PREFIX + 'x', b'torn', 0)
    entries = list(store.get_prefix(membership.PREFIX).unwrap())
    assert membership.decode_instances(entries) == []


class _Mirror:
    def __init__(self):
        self.entry_by_key = {}
        self.is_settled = True
        self.position = stores.NOWHERE


def test_target_with_expired_entry_is_kept_until_the_store_is_settled():
    timer = timers.ManualTimers()
    registry = target_registry.TargetRegistry()
    in_force = request_handling.ConfigurationInForce()
    in_force.replace(relay_rig.make_desired_state())
    roster = target_roster.TargetRoster(
        registry,
        down_targets.DownTargets(timer, random.Random(1)),
        in_force,
        timer,
        lambda entry: entry,
    )
    mirror = _Mirror()
    roster.read_from(mirror)
    mirror.entry_by_key = {'x': sample_engine.target('x')}
    roster.update()
    mirror.is_settled = False
    mirror.entry_by_key = {}
    roster.update()
    assert set(registry.target_by_id) == {'x'}
    mirror.is_settled = True
    timer.advance(target_roster.REVIEW_PERIOD_S + 0.1)
    assert set(registry.target_by_id) == set()


def test_leaving_target_gets_no_new_work():
    registry = target_registry.TargetRegistry()
    leaving = sample_engine.target('x')._replace(is_leaving=True)
    registry.replace([leaving], {})
    assert registry.ready(sample_engine.SERVICE) == []
    assert set(registry.target_by_id) == {'x'}


def test_older_desired_state_is_never_put_in_force():
    in_force = request_handling.ConfigurationInForce()
    in_force.replace(relay_rig.make_desired_state(5))
    in_force.replace(relay_rig.make_desired_state(4))
    assert in_force.state.version == 5


def test_loads_of_a_sample_are_scaled_to_a_large_fleet():
    timer = timers.ManualTimers()
    tracker = load_tracker.LoadTracker(timer)
    tracker.set_instances(41)
    for peer in ('a', 'b'):
        reported = load_tracker.InstanceLoads({'t': 10.0}, {'t': 1}, {})
        tracker.record_peer_loads(peer, reported)
    loads = tracker.all_loads({})
    assert loads.tokens_by_target == {'t': 400.0}
    assert loads.requests_by_target == {'t': 40.0}
    tracker.set_instances(3)
    assert tracker.all_loads({}).tokens_by_target == {'t': 20.0}


def test_shorter_instance_list_does_not_raise_the_budget_at_once():
    """After a store outage the list lacks instances that are running."""
    timer = timers.ManualTimers()
    budget = retry_budget.RetryBudget(timer, 0.0, 80.0, 10.0)
    budget.set_instances(8)
    timer.advance(1.0)
    budget.set_instances(1)
    assert sum(budget.take('s') for _ in range(100)) == 8
    timer.advance(10.1)
    budget.set_instances(1)
    assert sum(budget.take('s') for _ in range(100)) == 68


def test_instance_without_a_known_fleet_has_no_retry_budget():
    budget = retry_budget.RetryBudget(timers.ManualTimers(), 0.0, 80, 10.0)
    assert not budget.take('s')


def test_registration_continues_after_an_unexpected_failure():
    timer = timers.GeventTimers()
    store = _FailingOnceStore(timer)
    own = membership.Instance('i', 'a', 'r', '10.0.0.1:80', '10.0.0.1:81')
    registration = membership.Registration(
        store,
        timer,
        own,
        store_availability.StoreAvailability(timer),
        store_eras.StoreEras(timer),
    )
    registration.start()
    with gevent.Timeout(5.0):
        while not store.get_prefix(membership.PREFIX).unwrap():
            gevent.sleep(0.01)
    registration.stop()


class _FailingOnceStore(memory_store.MemoryStore):
    """A store that raises an unexpected error at the first lease."""

    has_failed = False

    def grant_lease(self, ttl_s):
        if not self.has_failed:
            self.has_failed = True
            raise KeyError('unforeseen')
        return super().grant_lease(ttl_s)


def test_registration_is_written_again_in_a_new_era():
    timer = timers.ManualTimers()
    memory = memory_store.MemoryStore(timer)
    saved = memory.save()
    eras = store_eras.StoreEras(timer)
    store = faulty_store.FaultyStore(memory, timer, random.Random(1), eras)
    own = membership.Instance('i', 'a', 'r', '10.0.0.1:80', '10.0.0.1:81')
    registration = membership.Registration(
        era_guarded_store.EraGuardedStore(store, eras),
        timer,
        own,
        store_availability.StoreAvailability(timer),
        eras,
    )
    registration.step()
    memory.restore(saved)
    store.get('any')
    before = sum(store.calls_by_kind.values())
    registration.step()
    entries = list(memory.get_prefix(membership.PREFIX).unwrap())
    assert membership.decode_instances(entries) == [own]
    assert sum(store.calls_by_kind.values()) - before == 2
