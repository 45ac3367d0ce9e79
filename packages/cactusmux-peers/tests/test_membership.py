"""Tests of failure detection and of views that converge after faults."""

from absl import logging
from cactusmux_fakes import peer_fleet
from cactusmux_peers import members
from cactusmux_peers import membership
from cactusmux_peers import transport
from cactusmux_peers import update_queue
import pytest

logging.set_verbosity(logging.ERROR)

CONVERGENCE_LIMIT_S = 60.0
PLACES = (
    peer_fleet.Place('kz-central', 'kz-1'),
    peer_fleet.Place('kz-central', 'kz-2'),
    peer_fleet.Place('lima-metro', 'lima-1'),
    peer_fleet.Place('lima-metro', 'lima-2'),
)


def started(count: int, seed: int = 1) -> peer_fleet.PeerFleet:
    fleet = peer_fleet.PeerFleet(seed)
    fleet.start_many(count, PLACES)
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )
    return fleet


def state_of(
    node: peer_fleet.Node, other: peer_fleet.Node
) -> members.State | None:
    member = node.service.view.get(other.service.instance_id)
    return member and member.state


def test_crashed_member_is_dead_everywhere_within_the_bound() -> None:
    fleet = started(32)
    fleet.crash('10.0.0.9:7000')
    view = fleet.node_by_address['10.0.0.1:7000'].service.view
    # One round of probes, the suspicion timeout, and dissemination.
    bound_s = view.suspicion_s() + 15.0
    assert fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) <= bound_s


def test_message_loss_alone_removes_no_member_permanently() -> None:
    fleet = started(32)
    fleet.network.loss = 0.2
    fleet.clock.advance(120.0)
    fleet.network.loss = 0.0
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )


def test_one_way_loss_is_covered_by_indirect_probes() -> None:
    fleet = started(8)
    node = fleet.node_by_address['10.0.0.5:7000']
    real_call = fleet.network.call

    def call(caller: str, callee: str, method, request):  # type: ignore
        if caller == '10.0.0.1:7000' and callee == node.address:
            return real_call(caller, '10.9.9.9:1', method, request)
        return real_call(caller, callee, method, request)

    fleet.network.call = call  # type: ignore[method-assign]
    fleet.clock.advance(30.0)
    counters = fleet.node_by_address['10.0.0.1:7000'].metrics
    assert counters.counter_by_name['peers.probe.reached_indirectly'] > 0
    assert counters.counter_by_name['peers.member.suspected'] == 0
    assert fleet.agrees()


def test_member_refutes_after_short_pause_and_rejoins_after_long_one() -> None:
    fleet = started(16)
    paused = fleet.node_by_address['10.0.0.6:7000']
    for pause_s in (5.0, 60.0):
        before = paused.service.view.own.incarnation
        fleet.pause(paused.address)
        fleet.clock.advance(pause_s)
        fleet.resume(paused.address)
        assert (
            fleet.advance_until_agreed(CONVERGENCE_LIMIT_S)
            < CONVERGENCE_LIMIT_S
        )
        assert paused.service.view.own.incarnation >= before
    assert paused.service.view.own.incarnation > 1


def test_next_probe_informs_suspect_member() -> None:
    fleet = started(2)
    fleet.clock.advance(20.0)
    one, other = fleet.node_by_address.values()
    one.service.view.suspect(other.service.instance_id)
    while one.service.view.queue.take(2):
        pass
    fleet.clock.advance(1.0)
    assert state_of(one, other) is members.State.ALIVE


def test_paused_instance_does_not_declare_others_dead() -> None:
    fleet = started(16)
    paused = fleet.node_by_address['10.0.0.6:7000']
    for number in range(8, 14):
        other = fleet.node_by_address[f'10.0.0.{number}:7000']
        paused.service.view.suspect(other.service.instance_id)
    fleet.pause(paused.address)
    fleet.clock.advance(60.0)
    fleet.resume(paused.address)
    fleet.clock.advance(2.0)
    assert paused.metrics.counter_by_name['peers.member.dead'] == 0


def test_leaving_and_left_are_distinct_from_dead() -> None:
    fleet = started(8)
    leaving = fleet.node_by_address['10.0.0.8:7000']
    observer = fleet.node_by_address['10.0.0.1:7000']
    leaving.service.leave()
    fleet.clock.advance(10.0)
    assert state_of(observer, leaving) is members.State.LEAVING
    fleet.leave(leaving.address)
    fleet.clock.advance(10.0)
    assert state_of(observer, leaving) is members.State.LEFT
    counters = observer.metrics.counter_by_name
    assert counters['peers.member.dead'] == 0


def test_restart_at_the_same_address_replaces_the_old_instance() -> None:
    fleet = started(8)
    old = fleet.node_by_address['10.0.0.4:7000']
    fleet.crash(old.address)
    restarted = fleet.start(3, PLACES[3])
    # The instance through which it joined marks the old one dead at once.
    assert members.State.DEAD in {
        state_of(node, old) for node in fleet.node_by_address.values()
    }
    assert fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < 10.0
    assert restarted.service.view.own.incarnation == 1


@pytest.mark.parametrize('split_s, size', [(60.0, 24), (3600.0, 6)])
def test_views_converge_after_network_partition(
    split_s: float, size: int
) -> None:
    fleet = started(size)
    far = [
        node.address
        for node in fleet.node_by_address.values()
        if node.place.region == 'lima-metro'
    ]
    # The platform's list is empty, so members rely on their own views.
    fleet.listed_addresses.clear()
    fleet.network.split(far)
    fleet.clock.advance(split_s)
    assert {len(view) for view in fleet.views()} == {
        len(far),
        size - len(far),
    }
    fleet.network.heal()
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )


def test_dead_zone_is_removed_only_after_retention_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Must exceed partitions between regions, which last up to an hour.
    assert membership.DEAD_RETENTION_S > 2 * 3600.0
    monkeypatch.setattr(membership, 'DEAD_RETENTION_S', 200.0)
    fleet = started(16)
    crashed = [
        node.address
        for node in list(fleet.node_by_address.values())
        if node.place.zone == 'kz-2'
    ]
    for address in crashed:
        fleet.crash(address)
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )
    view = fleet.node_by_address['10.0.0.1:7000'].service.view
    assert len(view.dead()) == 4
    fleet.clock.advance(membership.DEAD_RETENTION_S + CONVERGENCE_LIMIT_S)
    assert len(view.dead()) == 0


def test_fleet_of_150_that_starts_at_once_agrees() -> None:
    fleet = peer_fleet.PeerFleet(3)
    fleet.start_many(150, PLACES)
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )
    fleet.crash('10.0.0.120:7000')
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )


def test_message_carries_a_bounded_number_of_updates() -> None:
    queue = update_queue.UpdateQueue()
    for number in range(100):
        queue.add(members.Member(str(number), 'a', 'p', 'r', 'z'))
    first = {claim.instance_id for claim in queue.take(100)}
    assert len(first) == update_queue.MAX_UPDATES
    # The least often sent claims go first, so the next message has others.
    assert not first & {claim.instance_id for claim in queue.take(100)}
    messages = 2
    while queue.take(100):
        messages += 1
    limit = update_queue.transmission_limit(100)
    assert messages == -(-100 * limit // update_queue.MAX_UPDATES)


MEMBER = members.Member('x', 'a', 'p', 'r', 'z', incarnation=3)
PRECEDENCE_CASES = [
    (3, members.State.ALIVE, False),
    (2, members.State.DEAD, False),
    (3, members.State.SUSPECT, True),
    (3, members.State.DEAD, True),
    (4, members.State.ALIVE, True),
    (4, members.State.LEAVING, True),
    (3, members.State.LEFT, True),
]


@pytest.mark.parametrize('incarnation, state, expected', PRECEDENCE_CASES)
def test_claim_precedence_by_incarnation_then_rank(
    incarnation: int, state: members.State, expected: bool
) -> None:
    claim = MEMBER._replace(incarnation=incarnation, state=state)
    assert members.supersedes(claim, MEMBER) is expected


def test_answer_by_another_instance_does_not_keep_member_alive() -> None:
    fleet = started(4)
    service = fleet.node_by_address['10.0.0.1:7000'].service
    stale = members.Member(
        'stale', '10.0.0.2:8080', '10.0.0.2:7000', 'kz-central', 'kz-2'
    )
    service.view.claim(stale)
    fleet.clock.advance(15.0)
    found = service.view.get('stale')
    assert found is not None and found.state is members.State.DEAD
    assert fleet.agrees()


def test_instance_alone_in_its_region_calls_every_period() -> None:
    fleet = peer_fleet.PeerFleet(1)
    for number, place in enumerate((PLACES[0], PLACES[1], PLACES[2])):
        fleet.start(number, place)
    assert (
        fleet.advance_until_agreed(CONVERGENCE_LIMIT_S) < CONVERGENCE_LIMIT_S
    )
    calls: list[str] = []
    real_call = fleet.network.call

    def call(caller: str, callee: str, method, request):  # type: ignore
        calls.append(caller)
        return real_call(caller, callee, method, request)

    fleet.network.call = call  # type: ignore[method-assign]
    fleet.clock.advance(6.0)
    assert calls.count('10.0.0.3:7000') >= 6


def test_malformed_answers_do_not_change_view() -> None:
    fleet = started(6)
    fleet.network.attach('10.0.0.3:7000', lambda method, request: b'\xff\xff')
    fleet.clock.advance(30.0)
    observer = fleet.node_by_address['10.0.0.1:7000']
    assert observer.metrics.counter_by_name['peers.answer.malformed'] > 0
    others = {'10.0.0.1:7000', '10.0.0.2:7000', '10.0.0.4:7000'}
    live = {member.peer_address for member in observer.service.view.live()}
    assert others <= live


def test_refused_call_is_counted_by_caller() -> None:
    fleet = started(3)

    def refuse(method: transport.Method, request: bytes) -> bytes:
        raise transport.CallRefused('not today')

    fleet.network.attach('10.0.0.3:7000', refuse)
    fleet.clock.advance(3.0)
    observer = fleet.node_by_address['10.0.0.1:7000']
    assert observer.metrics.counter_by_name['peers.probe.peer_refused'] > 0
