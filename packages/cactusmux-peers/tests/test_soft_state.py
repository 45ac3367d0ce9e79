"""Tests of soft state replication over an in-memory network."""

from absl import logging
from cactusmux_fakes import peer_fleet
from cactusmux_peers import demand_tree
from cactusmux_peers import leaving_targets
from cactusmux_peers import payloads
from cactusmux_peers import peers_pb2
from cactusmux_peers import publisher
from cactusmux_peers import records
from cactusmux_peers import report_index
from cactusmux_peers import soft_state
from cactusmux_peers import zone_demand
from cactusmux_platform import targets
import pytest

logging.set_verbosity(logging.ERROR)

KZ = peer_fleet.Place('kz-central', 'kz-1')
KZ_TWO = peer_fleet.Place('kz-central', 'kz-2')
LIMA = peer_fleet.Place('lima-metro', 'lima-1')
PLACES = (KZ, KZ_TWO, LIMA)
# Guaranteed time after which a leaving target gets no new requests.
LEAVING_KNOWN_S = 3.0
ORDERS = soft_state.DemandKey('drafts', 'studio-1')
LETTERS = soft_state.DemandKey('letters', 'gallery-1')


def started(count: int) -> peer_fleet.PeerFleet:
    fleet = peer_fleet.PeerFleet(7)
    fleet.start_many(count, PLACES)
    assert fleet.advance_until_agreed(60.0) < 60.0
    return fleet


def states(
    fleet: peer_fleet.PeerFleet, region: str = ''
) -> list[soft_state.SoftState]:
    return [
        node.service.soft_state
        for node in fleet.node_by_address.values()
        if region in ('', node.place.region)
    ]


def report(running: int = 3, **fields: object) -> targets.TargetReport:
    known = targets.TargetReport(
        '10.1.0.1:9000',
        (targets.Holding('model-1', 'v3', 0, 8, ('studio-1',)),),
        2000.0,
        running,
        queued=0,
        fencing=17,
    )
    return known._replace(**fields)


def test_report_reaches_its_region_and_no_other() -> None:
    fleet = started(24)
    publisher, *others = states(fleet, 'kz-central')
    publisher.publish_report(report())
    fleet.clock.advance(10.0)
    publisher.publish_report(report())
    fleet.clock.advance(8.0)
    for state in others:
        aged = state.report_by_address()['10.1.0.1:9000']
        assert aged.report == report()
        assert 0.0 < aged.age_s <= report_index.MAX_REPORT_AGE_S
    for state in states(fleet, 'lima-metro'):
        assert not state.report_by_address()


def test_expired_report_is_not_returned() -> None:
    fleet = started(6)
    first, *_ = states(fleet, 'kz-central')
    first.publish_report(report())
    fleet.clock.advance(report_index.MAX_REPORT_AGE_S + 0.5)
    assert not any(state.report_by_address() for state in states(fleet))


def test_withdrawn_report_disappears_and_its_slot_is_used_again() -> None:
    fleet = started(6)
    first, second, *_ = states(fleet, 'kz-central')
    first.publish_report(report())
    fleet.clock.advance(6.0)
    assert second.report_by_address()
    first.withdraw_report('10.1.0.1:9000')
    first.publish_report(report(running=9, address='10.1.0.2:9000'))
    fleet.clock.advance(6.0)
    assert list(second.report_by_address()) == ['10.1.0.2:9000']
    assert second.report_by_address()['10.1.0.2:9000'].report.running == 9


def test_newest_report_of_two_pollers_is_returned() -> None:
    fleet = started(6)
    first, second, third, *_ = states(fleet, 'kz-central')
    first.publish_report(report(running=1))
    fleet.clock.advance(1.0)
    second.publish_report(report(running=8))
    fleet.clock.advance(6.0)
    assert third.report_by_address()['10.1.0.1:9000'].report.running == 8


def test_leaving_target_is_known_to_the_region_in_time() -> None:
    fleet = started(90)
    first, *others = states(fleet, 'kz-central')
    first.mark_target_leaving('10.1.0.1:9000')
    fleet.clock.advance(1.0)
    assert all(state.leaving_targets() for state in others)


def test_leaving_target_is_known_in_time_although_notices_are_lost() -> None:
    fleet = started(48)
    first, *others = states(fleet, 'kz-central')
    fleet.network.loss = 0.3
    first.mark_target_leaving('10.1.0.1:9000')
    fleet.clock.advance(LEAVING_KNOWN_S)
    assert all(state.leaving_targets() for state in others)


def test_report_with_leaving_marks_target_leaving() -> None:
    fleet = started(6)
    first, second, *_ = states(fleet, 'kz-central')
    first.publish_report(report(leaving=True))
    fleet.clock.advance(LEAVING_KNOWN_S)
    assert second.leaving_targets() == {'10.1.0.1:9000'}


def test_leaving_expires_unless_renewed() -> None:
    fleet = started(6)
    first, second, *_ = states(fleet, 'kz-central')
    first.mark_target_leaving('10.1.0.1:9000')
    fleet.clock.advance(leaving_targets.LEAVING_TTL_S - 5.0)
    first.mark_target_leaving('10.1.0.1:9000')
    fleet.clock.advance(20.0)
    assert second.leaving_targets()
    fleet.clock.advance(leaving_targets.LEAVING_TTL_S)
    assert not second.leaving_targets()


def test_demand_is_summed_by_zone_and_known_everywhere() -> None:
    fleet = started(24)
    for _ in range(60):
        for node in fleet.node_by_address.values():
            key = ORDERS if node.place.region == 'kz-central' else LETTERS
            node.service.soft_state.publish_demand({key: 2.0})
        fleet.clock.advance(1.0)
    for state in states(fleet):
        rates = state.demand()
        assert rates.keys() == {'kz-1', 'kz-2', 'lima-1'}
        # 8 instances per zone; 3 tree levels, each with an error of 2.5%.
        assert rates['kz-1'][ORDERS] == pytest.approx(16.0, rel=0.1)
        assert rates['lima-1'][LETTERS] == pytest.approx(16.0, rel=0.1)


def test_demand_that_ends_is_known_to_have_ended() -> None:
    fleet = started(6)
    first, second, *_ = states(fleet, 'kz-central')
    first.publish_demand({ORDERS: 5.0})
    fleet.clock.advance(20.0)
    assert second.demand()['kz-1'][ORDERS] == pytest.approx(5.0, rel=0.1)
    first.publish_demand({})
    fleet.clock.advance(20.0)
    assert not second.demand()


def test_demand_is_summed_after_crash_of_root() -> None:
    fleet = started(12)
    nodes = [n for n in fleet.node_by_address.values() if n.place == KZ]
    root = min(nodes, key=lambda node: node.service.instance_id)
    fleet.crash(root.address)
    for _ in range(60):
        for state in states(fleet):
            state.publish_demand({ORDERS: 1.0})
        fleet.clock.advance(1.0)
    for state in states(fleet):
        assert state.demand()['kz-1'][ORDERS] == pytest.approx(3.0, rel=0.1)


def test_sum_beyond_maximum_height_is_ignored() -> None:
    fleet = started(6)
    nodes = [n for n in fleet.node_by_address.values() if n.place == KZ]
    root, child = sorted(nodes, key=lambda node: node.service.instance_id)
    cyclic = peers_pb2.SubtreeDemand(
        height=demand_tree.MAX_HEIGHT, keys=[1], levels=bytes([9])
    )
    tree = root.service.soft_state.demand_tree
    assert tree.receive(child.service.instance_id, cyclic) == []
    assert tree.subtree_rates() == {}


def test_sum_from_member_that_is_not_child_is_ignored() -> None:
    fleet = started(6)
    nodes = [n for n in fleet.node_by_address.values() if n.place == KZ]
    root, child = sorted(nodes, key=lambda node: node.service.instance_id)
    subtree = peers_pb2.SubtreeDemand(height=1, keys=[1], levels=bytes([9]))
    tree = child.service.soft_state.demand_tree
    assert tree.receive(root.service.instance_id, subtree) == []
    assert tree.subtree_rates() == {}


def test_revisions_reach_all_members_and_never_decrease() -> None:
    fleet = started(24)
    first, *_ = states(fleet)
    first.publish_revisions({'drafts': 5})
    first.publish_revisions({'drafts': 4})
    fleet.clock.advance(40.0)
    for state in states(fleet):
        assert state.revision_by_service() == {'drafts': 5}
        publishers = [m for m in state.members() if m.revision_by_service]
        assert [dict(m.revision_by_service) for m in publishers] == [
            {'drafts': 5}
        ]


def test_records_of_dead_instance_are_removed() -> None:
    fleet = started(6)
    first, second, *_ = states(fleet, 'kz-central')
    first.publish_revisions({'drafts': 5})
    fleet.clock.advance(10.0)
    assert second.revision_by_service() == {'drafts': 5}
    fleet.crash('10.0.0.1:7000')
    fleet.clock.advance(40.0)
    assert second.revision_by_service() == {}


MALFORMED = [
    b'\x01\xff\xff',
    b'\x02\x05',
    bytes((payloads.Tag.LEAVING, 0xFF)),
    b'\xee',
]


@pytest.mark.parametrize('payload', MALFORMED)
def test_malformed_record_is_ignored(payload: bytes) -> None:
    fleet = started(6)
    first, second, *_ = states(fleet, 'kz-central')
    first.publish_report(report())
    first.table.publish({100: payload, 101: payload})
    fleet.clock.advance(6.0)
    assert second.report_by_address()
    assert not second.leaving_targets()


LOAD_CHANGES = [
    (report(running=20), report(running=21), False),
    (report(running=20), report(running=27), True),
    (report(running=0), report(running=1), False),
    (report(running=0), report(running=2), True),
    (report(queued=0), report(queued=5), True),
]


@pytest.mark.parametrize('before, after, is_published', LOAD_CHANGES)
def test_load_is_published_at_once_only_after_large_change(
    before: targets.TargetReport,
    after: targets.TargetReport,
    is_published: bool,
) -> None:
    fleet = started(3)
    first, second = states(fleet, 'kz-central')
    first.publish_report(before)
    fleet.clock.advance(publisher.REFRESH_S - 1.0)
    first.publish_report(after)
    fleet.clock.advance(3.0)
    found = second.report_by_address()[before.address].report
    assert found == (after if is_published else before)
    first.publish_report(after)
    fleet.clock.advance(3.0)
    assert second.report_by_address()[before.address].report == after


def test_noise_of_small_organisation_is_published_only_at_refresh() -> None:
    fleet = started(1)
    [state] = states(fleet)
    for second in range(120):
        small = 0.2 if second % 2 else 0.4
        state.publish_demand({ORDERS: 100.0, LETTERS: small})
        fleet.clock.advance(1.0)
    origin = records.origin_of(
        fleet.node_by_address['10.0.0.1:7000'].service.instance_id
    )
    [version] = state.table.versions_of([origin])
    # 2 name records, and 2 rate records per refresh period.
    assert version <= 2 + 2 * (120.0 / zone_demand.REFRESH_S + 1)


def test_organisation_without_requests_is_removed_after_a_while() -> None:
    fleet = started(1)
    [state] = states(fleet)
    state.publish_demand({ORDERS: 5.0, LETTERS: 5.0})
    fleet.clock.advance(5.0)
    state.publish_demand({ORDERS: 5.0})
    fleet.clock.advance(5.0)
    assert state.demand()['kz-1'].keys() == {ORDERS}
    fleet.clock.advance(zone_demand.ZERO_RETENTION_S)
    origin = records.origin_of(
        fleet.node_by_address['10.0.0.1:7000'].service.instance_id
    )
    removed = [
        record
        for record in state.table.records_of(origin).values()
        if record.payload[0] in payloads.TOMBSTONE_TAGS
    ]
    assert len(removed) == 2
