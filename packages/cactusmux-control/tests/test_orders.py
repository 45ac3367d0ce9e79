"""Tests of order rounds: authority, plan record, budget, late orders."""

from collections.abc import Callable
from typing import Any

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_control import leases
from cactusmux_control import load_budget
from cactusmux_control import order_tasks
from cactusmux_control import orders
from cactusmux_control import plan_record
from cactusmux_control import pool
from cactusmux_fakes import direct_targets
from cactusmux_fakes import engines
from cactusmux_fakes import fixed_weights
from cactusmux_fakes import memory_store
from cactusmux_fakes import scripted_store
from cactusmux_platform import instances
from cactusmux_platform import stores
from cactusmux_platform import targets
import pytest
from returns import result

MODEL = documents.Model(6, 4096, 500, 'v1', ('a',))
RATE_MB_PER_S = 10_000.0


class PausedClient(targets.TargetClient):
    """Runs ``before_send`` between the authority check and the send.

    This simulates a process that is paused at that point.
    """

    def __init__(self, client: targets.TargetClient) -> None:
        self._client = client
        self.before_send: Callable[[], None] = lambda: None
        self.sent: list[tuple[str, targets.Order]] = []

    def report(self, address: str) -> Any:
        return self._client.report(address)

    def open_stream(
        self, request: targets.RoutedRequest, accept_s: float
    ) -> Any:
        return self._client.open_stream(request, accept_s)

    def send_order(self, address: str, order: targets.Order) -> Any:
        before_send, self.before_send = self.before_send, lambda: None
        before_send()
        self.sent.append((address, order))
        return self._client.send_order(address, order)


class Instance:
    """An instance with its lease holder and order dispatcher."""

    def __init__(self, bed: 'Bed', number: int, region: str = 'r1') -> None:
        self.store = scripted_store.ScriptedStore(bed.store, bed.clock)
        self.metric = metrics.MemoryMetrics()
        self.client = PausedClient(
            direct_targets.DirectTargetClient(bed.fabric)
        )
        self.lease = leases.LeaseHolder(
            self.store,
            bed.clock,
            self.metric,
            leases.order_lease(region),
            f'10.9.0.{number}:80',
        )
        self.dispatcher = orders.OrderDispatcher(
            self.store,
            bed.clock,
            self.metric,
            self.client,
            bed.weights,
            orders.Sources(
                self.lease.authority,
                lambda: bed.documents,
                lambda: bed.known_targets(region),
            ),
            region,
        )

    def run(self) -> result.Result[orders.Round, Any]:
        self.lease.step()
        return self.dispatcher.run_round()


class Bed:
    """Test bed of engines and instances, with one store and manual clock."""

    def __init__(self, checks_fencing: bool = True, count: int = 8) -> None:
        self.clock = timers.ManualTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.addresses_by_region: dict[str, set[str]] = {}
        self.weights = fixed_weights.FixedWeightStore(RATE_MB_PER_S)
        self.fabric = engines.Fabric(self.clock)
        config = engines.EngineConfig(checks_fencing=checks_fencing)
        for number in range(count):
            engines.Engine(self.fabric, f'10.0.0.{number}:80', config)
        self.documents: tuple[documents.ServiceDocument, ...] | None = (
            make_document(MODEL),
        )
        self.first = Instance(self, 1)
        self.second = Instance(self, 2)

    def known_targets(self, region: str) -> list[pool.KnownTarget]:
        return [
            pool.KnownTarget(
                instances.ListedInstance(
                    address,
                    instances.Role.ENGINE,
                    region,
                    f'z{number % 2}',
                    accelerator='kind',
                    memory_mb=3000,
                ),
                None if engine.dead else engine.report(),
                0.0,
            )
            for number, (address, engine) in enumerate(
                sorted(self.fabric.engine_by_address.items())
            )
            if address in self.addresses_by_region.get(region, (address,))
        ]

    def run_rounds(self, instance: Instance, rounds: int = 20) -> None:
        for _ in range(rounds):
            instance.run()
            self.clock.advance(orders.PERIOD_S)

    def held(self) -> dict[str, Any]:
        return {
            address: engine.report().holdings
            for address, engine in self.fabric.engine_by_address.items()
        }

    def change_version(self, version: str) -> None:
        self.documents = (make_document(MODEL._replace(version=version)),)

    def expire_first_lease(self) -> None:
        """Advances the clock until the second instance holds the lease."""
        self.clock.advance(10.0)
        assert self.second.run().unwrap()


def make_document(model: documents.Model) -> documents.ServiceDocument:
    return documents.ServiceDocument(
        'art', documents.Pool(0.5), {'conditions': model}, {}, {}, {}
    )


def versions(bed: Bed) -> set[str]:
    return {one.version for held in bed.held().values() for one in held}


def recorded(bed: Bed) -> plan_record.PlanRecord:
    entry = bed.store.get(plan_record.plan_key('r1')).unwrap()
    assert entry is not None
    record = plan_record.decode(entry.value)
    assert record is not None
    return record


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_targets_converge_to_the_recorded_plan(checks_fencing: bool) -> None:
    bed = Bed(checks_fencing)
    bed.run_rounds(bed.first)
    held = bed.held()
    assert sum(len(holdings) for holdings in held.values()) >= 6
    assert held == recorded(bed).holdings_by_address
    sent = len(bed.first.client.sent)
    writes = bed.first.store.writes
    bed.run_rounds(bed.first, rounds=5)
    assert len(bed.first.client.sent) == sent
    assert bed.first.store.writes == writes + 5


def test_rounds_without_changes_reuse_the_plan() -> None:
    bed = Bed()
    bed.run_rounds(bed.first)
    planned = bed.first.metric.counter_by_name['placement.planned']
    bed.run_rounds(bed.first, rounds=5)
    assert bed.first.metric.counter_by_name['placement.planned'] == planned
    bed.change_version('v2')
    bed.first.run()
    assert bed.first.metric.counter_by_name['placement.planned'] > planned


def test_speeds_by_kind_ignore_noise_in_reports() -> None:
    def known(number: int, kind: str, tps: float) -> pool.KnownTarget:
        address = f'10.0.0.{number}:80'
        held = (targets.Holding('conditions', 'v1', 0, 6),)
        return pool.KnownTarget(
            instances.ListedInstance(
                address,
                instances.Role.ENGINE,
                'r1',
                'z1',
                accelerator=kind,
                memory_mb=4000,
            ),
            targets.TargetReport(address, held, tps, 0, 0),
            0.0,
        )

    def speeds(noise: float) -> list[float]:
        found = pool.build_pool(
            [
                known(0, 'slow', 100.0 * noise),
                known(1, 'fast', 400.0 * noise),
                known(2, 'fast', 420.0),
            ],
            {'conditions': 500},
        )
        return [one.speed for one in found]

    slow, fast, other = speeds(1.0)
    assert fast == other == 4 * slow
    assert speeds(1.03) == speeds(1.0)


def test_without_the_lease_nothing_is_planned_or_sent() -> None:
    bed = Bed()
    bed.first.run()
    outcome = bed.second.run()
    assert isinstance(outcome.failure(), order_tasks.NoAuthority)
    assert bed.second.client.sent == []


def test_regions_have_a_holder_and_a_plan_each() -> None:
    bed = Bed()
    near = {f'10.0.0.{number}:80' for number in range(4)}
    far = set(bed.fabric.engine_by_address) - near
    bed.addresses_by_region = {'r1': near, 'r2': far}
    other = Instance(bed, 3, 'r2')
    for _ in range(20):
        bed.first.run().unwrap()
        other.run().unwrap()
        bed.clock.advance(orders.PERIOD_S)
    assert {address for address, _ in bed.first.client.sent} <= near
    assert {address for address, _ in other.client.sent} <= far
    held = bed.held()
    assert any(held[address] for address in near)
    assert any(held[address] for address in far)


def test_round_that_crashes_does_not_end_the_rounds() -> None:
    bed = Bed()
    bed.first.lease.start()
    bed.first.dispatcher.start()
    good = bed.documents
    bed.documents = ('broken',)  # type: ignore[assignment]
    bed.clock.advance(3 * orders.PERIOD_S)
    counter = bed.first.metric.counter_by_name
    assert counter['orders.round_crashed'] >= 2
    bed.documents = good
    bed.clock.advance(10 * orders.PERIOD_S)
    assert bed.held() == recorded(bed).holdings_by_address
    bed.first.dispatcher.stop()
    bed.first.lease.stop()


def test_unknown_documents_block_all_orders() -> None:
    bed = Bed()
    bed.run_rounds(bed.first)
    before = bed.held()
    bed.documents = None
    outcome = bed.first.run()
    assert isinstance(outcome.failure(), order_tasks.DocumentsUnknown)
    assert bed.held() == before


def test_authority_is_checked_before_each_order_of_a_round() -> None:
    bed = Bed()
    bed.first.client.before_send = lambda: bed.clock.advance(7.0)
    bed.first.run()
    assert len(bed.first.client.sent) == 1
    counter = bed.first.metric.counter_by_name
    assert counter['orders.held.round_limit'] == 1
    bed.clock.advance(0.5)
    outcome = bed.first.dispatcher.run_round()
    assert outcome.unwrap().sent == 0
    assert counter['orders.held.no_authority'] == 1


def test_orders_stop_when_authority_would_expire_during_delivery() -> None:
    bed = Bed()
    bed.first.lease.step()
    bed.clock.advance(6.5)
    outcome = bed.first.dispatcher.run_round()
    assert outcome.unwrap().sent == 0
    assert bed.first.client.sent == []


def test_first_orders_to_unfenced_targets_wait() -> None:
    bed = Bed(checks_fencing=False)
    gained_at = bed.clock.now()
    while not bed.first.client.sent:
        bed.first.run()
        bed.clock.advance(1.0)
    assert bed.clock.now() - gained_at >= 16.0


def test_nothing_is_sent_that_could_not_be_recorded() -> None:
    bed = Bed()
    bed.first.lease.step()
    down = scripted_store.Script(dropped=True)
    bed.first.store.scripts = [*[scripted_store.Script()] * 2, down]
    outcome = bed.first.dispatcher.run_round()
    assert isinstance(outcome.failure(), stores.StoreUnavailable)
    assert bed.first.client.sent == []


def test_lost_response_of_the_record_is_settled_by_reading_back() -> None:
    bed = Bed()
    bed.first.lease.step()
    lost = scripted_store.Script(unanswered=True)
    bed.first.store.scripts = [*[scripted_store.Script()] * 2, lost]
    assert bed.first.dispatcher.run_round().unwrap().sent > 0


def test_lost_write_of_the_record_is_written_again() -> None:
    bed = Bed()
    bed.first.lease.step()
    lost = scripted_store.Script(late=True)
    bed.first.store.scripts = [*[scripted_store.Script()] * 2, lost]
    outcome = bed.first.dispatcher.run_round()
    assert isinstance(outcome.failure(), stores.OutcomeUnknown)
    bed.run_rounds(bed.first)
    assert bed.held() == recorded(bed).holdings_by_address


@pytest.mark.parametrize('checks_fencing', [True, False])
def test_order_sent_late_by_a_paused_holder_has_no_effect(
    checks_fencing: bool,
) -> None:
    bed = Bed(checks_fencing)
    bed.run_rounds(bed.first)
    bed.change_version('v2')

    def pause() -> None:
        bed.expire_first_lease()
        bed.change_version('v3')
        bed.run_rounds(bed.second, rounds=30)
        pause.held = bed.held()  # type: ignore[attr-defined]

    bed.first.client.before_send = pause
    bed.first.dispatcher.run_round()
    late = bed.first.client.sent[-1][0]
    bed.clock.advance(1.0)
    assert bed.held() == pause.held  # type: ignore[attr-defined]
    assert (
        bed.first.dispatcher.run_round().failure() == order_tasks.NoAuthority()
    )
    if not checks_fencing:
        assert late in recorded(bed).open_addresses


def test_target_that_checks_fencing_gets_the_new_number_at_once() -> None:
    """Without an order, a late one of the old holder would be accepted.

    The target may already have the holdings that the new holder plans.
    """
    bed = Bed()
    bed.run_rounds(bed.first)
    before = bed.held()
    bed.change_version('v2')

    def pause() -> None:
        bed.change_version('v1')
        bed.expire_first_lease()
        bed.run_rounds(bed.second, rounds=30)

    bed.first.client.before_send = pause
    bed.first.dispatcher.run_round()
    late, order = bed.first.client.sent[-1]
    assert order.holdings != before[late]
    engine = bed.fabric.engine_by_address[late]
    assert order not in engine.orders_taken
    assert versions(bed) == {'v1'}
    assert not recorded(bed).open_addresses


def test_targets_loaded_before_a_holder_change_get_new_versions() -> None:
    bed = Bed()
    bed.first.run()
    assert recorded(bed).open_addresses
    bed.expire_first_lease()
    bed.change_version('v2')
    bed.run_rounds(bed.second, rounds=30)
    assert versions(bed) == {'v2'}
    assert not recorded(bed).open_addresses


def test_pinned_target_follows_the_plan_after_its_pin_expires() -> None:
    bed = Bed(checks_fencing=False)
    bed.run_rounds(bed.first)
    bed.change_version('v2')

    def pause() -> None:
        bed.expire_first_lease()
        bed.change_version('v3')
        bed.run_rounds(bed.second, rounds=20)

    bed.first.client.before_send = pause
    bed.first.dispatcher.run_round()
    assert recorded(bed).open_addresses
    bed.run_rounds(
        bed.second, rounds=int(orders.PIN_DURATION_S / orders.PERIOD_S) + 30
    )
    assert versions(bed) == {'v3'}
    assert not recorded(bed).open_addresses


def test_order_delivered_after_any_pin_is_corrected() -> None:
    bed = Bed(checks_fencing=False)
    bed.run_rounds(bed.first)
    before = bed.held()
    address = sorted(before)[0]
    stray = targets.Holding('conditions', 'v0', 0, 6, ('a',))
    late = targets.Order('late', 1, (stray,))
    bed.second.client.send_order(address, late)
    bed.clock.advance(1.0)
    assert bed.held()[address] == (stray,)
    bed.run_rounds(bed.first, rounds=3)
    assert bed.held() == before


def test_late_order_just_after_a_new_one_is_corrected_next_round() -> None:
    bed = Bed(checks_fencing=False, count=2)
    while not bed.first.client.sent:
        bed.first.run()
        bed.clock.advance(1.0)
    bed.first.run()
    before = bed.held()
    sent = len(bed.first.client.sent)
    address = bed.first.client.sent[0][0]
    bed.second.client.send_order(address, targets.Order('late', 1, ()))
    bed.clock.advance(1.0)
    assert bed.held()[address] == ()
    bed.first.run()
    bed.clock.advance(1.0)
    assert len(bed.first.client.sent) == sent + 1
    assert bed.held()[address] == before[address]


def test_paused_holder_cannot_record_after_a_takeover() -> None:
    bed = Bed()
    bed.run_rounds(bed.first)
    bed.change_version('v2')
    call = bed.first.store.compare_and_swap

    def pause_then_swap(*arguments: Any) -> Any:
        bed.first.store.compare_and_swap = call  # type: ignore[method-assign]
        bed.expire_first_lease()
        return call(*arguments)

    bed.first.store.compare_and_swap = (  # type: ignore[method-assign]
        pause_then_swap
    )
    outcome = bed.first.dispatcher.run_round()
    assert isinstance(outcome.failure(), stores.Conflict)
    authority = bed.second.lease.authority()
    assert authority is not None
    assert recorded(bed).fencing == authority.fencing


def test_loads_stay_within_the_budget_and_urgent_ones_go_first() -> None:
    bed = Bed(count=30)
    bed.weights.rate = 600.0
    bed.first.lease.step()
    outcome = bed.first.dispatcher.run_round().unwrap()
    loaded = sum(
        (one.last - one.first) * MODEL.layer_mb
        for _, order in bed.first.client.sent
        for one in order.holdings
    )
    assert outcome.waiting > 0
    # The first copy is urgent and has the longer window.
    assert 3000 <= loaded <= 12_000
    bed.run_rounds(bed.first, rounds=60)
    assert bed.held() == recorded(bed).holdings_by_address


def test_urgent_loads_have_a_larger_budget() -> None:
    store = fixed_weights.FixedWeightStore(100.0)
    budget = load_budget.LoadBudget(store, metrics.MemoryMetrics())
    budget.begin_round(900.0)
    assert not budget.reserve(200.0, urgent=False)
    assert budget.reserve(200.0, urgent=True)
    assert not budget.reserve(1000.0, urgent=True)
    budget.begin_round(0.0)
    assert budget.reserve(5000.0, urgent=False)


def test_budget_is_limited_to_its_part_of_the_rate() -> None:
    store = fixed_weights.FixedWeightStore(100.0)
    budget = load_budget.LoadBudget(store, metrics.MemoryMetrics(), 0.25)
    budget.begin_round(200.0)
    assert not budget.reserve(100.0, urgent=False)
    assert budget.reserve(50.0, urgent=False)


def test_loads_wait_until_the_weight_store_is_available() -> None:
    bed = Bed()
    bed.weights.down = True
    bed.run_rounds(bed.first, rounds=3)
    assert bed.first.client.sent == []
    bed.weights.down = False
    bed.run_rounds(bed.first)
    assert bed.held() == recorded(bed).holdings_by_address


def test_unreachable_target_is_retried_at_growing_intervals() -> None:
    bed = Bed(count=2)
    bed.first.run()
    refused: list[float] = []

    def fail(address: str, order: targets.Order) -> Any:
        refused.append(bed.clock.now())
        return result.Failure(targets.NotSent(address))

    bed.change_version('v2')
    bed.first.client.send_order = fail  # type: ignore[method-assign]
    bed.run_rounds(bed.first, rounds=40)
    gaps = [b - a for a, b in zip(refused, refused[1:], strict=False) if b > a]
    assert gaps == sorted(gaps)
    assert gaps[-1] >= 4 * gaps[0]


def test_leaving_target_gets_no_order_and_is_replaced() -> None:
    bed = Bed()
    bed.run_rounds(bed.first)
    engine = bed.fabric.engine_by_address['10.0.0.0:80']
    engine.leaving = True
    sent = len(bed.first.client.sent)
    bed.change_version('v2')
    bed.run_rounds(bed.first)
    addresses = {address for address, _ in bed.first.client.sent[sent:]}
    assert addresses
    assert engine.address not in addresses


def test_version_change_never_interrupts_service() -> None:
    bed = Bed(count=4)
    bed.run_rounds(bed.first)
    bed.change_version('v2')
    for _ in range(200):
        if bed.clock.now() % 2.0 < 0.1:
            bed.first.run()
        bed.clock.advance(0.1)
        served = [
            one.version
            for holdings in bed.held().values()
            for one in holdings
            if (one.first, one.last) == (0, 6)
        ]
        whole = served or [
            version
            for version in ('v1', 'v2')
            if sum(
                one.last - one.first
                for holdings in bed.held().values()
                for one in holdings
                if one.version == version
            )
            >= MODEL.layers
        ]
        assert whole
    assert versions(bed) == {'v2'}
