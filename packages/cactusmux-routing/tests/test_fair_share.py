"""Tests of an instance's share of the pool, by reported demand."""

from cactusmux_base import timers
from cactusmux_control import documents
from cactusmux_routing import demand
from cactusmux_routing import fair_share
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

CAPACITY_TPS = 1000.0
STEPPE = demand.Leaf('steppe', 'almaty')
SECOND = demand.Leaf('steppe', 'astana')
ARTE = demand.Leaf('arte', 'lima')


def policy(
    share: float, floor: float = 0.0, lend: bool = True
) -> fair_share.ServicePolicy:
    weights = {'almaty': 3.0, 'astana': 1.0, 'lima': 1.0}
    return fair_share.ServicePolicy(
        documents.Pool(share, floor, lend), weights
    )


EQUAL_SHARES = {'steppe': policy(0.5), 'arte': policy(0.5)}


class Instance:
    """An instance's fair share and its own demand."""

    def __init__(
        self,
        clock: timers.ManualTimers,
        peers: int,
        policies: dict[str, fair_share.ServicePolicy] = EQUAL_SHARES,
    ) -> None:
        self.clock = clock
        self.meter = demand.DemandMeter(clock)
        self.share = fair_share.FairShare(clock, self.meter)
        self.share.set_pool(CAPACITY_TPS, policies)
        self.share.set_peer_counts({'z': peers} if peers else {})

    def request(self, leaf: demand.Leaf, tps: float) -> None:
        self.meter.record(leaf, tps * demand.WINDOW_S)

    def receive_report(self, instances: int, tps_by_leaf: dict) -> None:
        reported = demand.ZoneDemand(
            'z', instances, tps_by_leaf, self.clock.now()
        )
        self.share.update_demand([reported])


def granted(instance: Instance) -> dict[demand.Leaf, float]:
    portions = instance.share.shares().portion_by_leaf
    return {leaf: portion.granted for leaf, portion in portions.items()}


DIVISIONS = [
    (EQUAL_SHARES, {STEPPE: 200, ARTE: 5000}, {STEPPE: 200, ARTE: 800}),
    (EQUAL_SHARES, {STEPPE: 800, ARTE: 8000}, {STEPPE: 500, ARTE: 500}),
    (
        EQUAL_SHARES,
        {STEPPE: 900, SECOND: 900, ARTE: 900},
        {STEPPE: 375, SECOND: 125, ARTE: 500},
    ),
    (
        {'steppe': policy(0.8), 'arte': policy(0.2, floor=0.4)},
        {STEPPE: 5000, ARTE: 5000},
        {STEPPE: 600, ARTE: 400},
    ),
    (
        {'steppe': policy(0.8), 'arte': policy(0.2, 0.4, lend=False)},
        {STEPPE: 5000, ARTE: 10},
        {STEPPE: 600, ARTE: 10},
    ),
    (EQUAL_SHARES, {STEPPE: 100, ARTE: 100}, {STEPPE: 100, ARTE: 100}),
]


@pytest.mark.parametrize('policies, asked, expected', DIVISIONS)
def test_single_instance_divides_the_whole_pool(
    policies: dict, asked: dict, expected: dict
) -> None:
    instance = Instance(timers.ManualTimers(), 0, policies)
    for leaf, tps in asked.items():
        instance.request(leaf, tps)
    assert granted(instance) == pytest.approx(expected)


def test_spare_capacity_is_split_between_all_instances() -> None:
    instance = Instance(timers.ManualTimers(), 3)
    instance.request(STEPPE, 100)
    instance.receive_report(3, {STEPPE: 300})
    assert instance.share.shares().limit_tps == pytest.approx(100 + 600 / 4)


@settings(derandomize=True, deadline=None, max_examples=20)
@given(
    asked=st.lists(
        st.dictionaries(
            st.sampled_from([STEPPE, SECOND, ARTE]),
            st.floats(1, 3000),
            max_size=3,
        ),
        min_size=2,
        max_size=5,
    )
)
def test_limits_of_all_instances_add_up_to_the_pool(asked: list) -> None:
    clock = timers.ManualTimers()
    instances = [Instance(clock, len(asked) - 1) for _ in asked]
    for step in range(160):
        clock.advance(0.25)
        for instance, tps_by_leaf in zip(instances, asked, strict=True):
            for leaf, tps in tps_by_leaf.items():
                instance.meter.record(leaf, tps * 0.25)
        if step % 4 == 3:
            exchange_reports(instances)
            total = sum(i.share.shares().limit_tps for i in instances)
    assert total == pytest.approx(CAPACITY_TPS, rel=0.02)


def exchange_reports(instances: list[Instance]) -> None:
    own = [instance.meter.tps_by_leaf() for instance in instances]
    for number, instance in enumerate(instances):
        peers: dict = {}
        for place, tps_by_leaf in enumerate(own):
            for leaf, tps in tps_by_leaf.items():
                if place != number:
                    peers[leaf] = peers.get(leaf, 0.0) + tps
        instance.receive_report(len(instances) - 1, peers)


def test_owner_gets_its_share_at_once_when_it_asks_again() -> None:
    clock = timers.ManualTimers()
    instance = Instance(clock, 0)
    instance.request(ARTE, 10000)
    assert granted(instance)[ARTE] == CAPACITY_TPS
    instance.request(STEPPE, 1000)
    clock.advance(fair_share.REFRESH_S)
    half = pytest.approx(CAPACITY_TPS / 2)
    assert granted(instance) == {ARTE: half, STEPPE: half}
    assert instance.share.shares().entitled_by_service['steppe'] == half


def test_isolated_instance_lends_almost_nothing() -> None:
    clock = timers.ManualTimers()
    instance = Instance(clock, 9)
    instance.receive_report(9, {})
    clock.advance(fair_share.SETTLE_S + fair_share.STALE_AFTER_S)
    instance.request(ARTE, 10000)
    clock.advance(fair_share.SETTLE_S)
    instance.request(ARTE, 10000)
    lent = granted(instance)[ARTE] - CAPACITY_TPS / 2
    assert 0 <= lent <= CAPACITY_TPS / 2 / 10 + 1


def test_joining_instance_takes_no_more_than_an_equal_fraction() -> None:
    instance = Instance(timers.ManualTimers(), 9)
    instance.request(ARTE, 10000)
    shares = instance.share.shares()
    assert granted(instance)[ARTE] <= CAPACITY_TPS * 0.56 / 10
    assert shares.entitled_by_service['arte'] <= CAPACITY_TPS / 2 / 10 + 1


def test_fraction_stays_equal_until_reports_postdate_own_demand() -> None:
    clock = timers.ManualTimers()
    instance = Instance(clock, 9)
    instance.receive_report(9, {})
    instance.request(STEPPE, 1000)
    entitled = instance.share.shares().entitled_by_service['steppe']
    assert entitled == pytest.approx(CAPACITY_TPS / 2 / 10)
    clock.advance(fair_share.SETTLE_S)
    instance.receive_report(9, {})
    entitled = instance.share.shares().entitled_by_service['steppe']
    assert entitled == pytest.approx(CAPACITY_TPS / 2)


def test_share_of_an_instance_that_left_goes_to_its_peers() -> None:
    clock = timers.ManualTimers()
    instance = Instance(clock, 1)
    instance.receive_report(1, {ARTE: 10000.0})
    instance.request(ARTE, 10000)
    clock.advance(fair_share.REFRESH_S)
    assert granted(instance)[ARTE] < CAPACITY_TPS * 0.6
    instance.share.set_peer_counts({})
    assert granted(instance)[ARTE] == CAPACITY_TPS


def test_unknown_service_gets_nothing() -> None:
    instance = Instance(timers.ManualTimers(), 0)
    unknown = demand.Leaf('nobody', 'o')
    instance.request(unknown, 100)
    assert granted(instance) == {unknown: 0.0}
