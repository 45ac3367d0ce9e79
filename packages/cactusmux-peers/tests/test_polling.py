"""Tests of job assignment and of the reports that pollers publish."""

from absl import logging
from cactusmux_base import metrics
from cactusmux_fakes import peer_fleet
from cactusmux_peers import assignments
from cactusmux_peers import polling
from cactusmux_platform import instances
from cactusmux_platform import targets
import gevent
from returns import result

logging.set_verbosity(logging.ERROR)

KZ = peer_fleet.Place('kz-central', 'kz-1')
KZ_TWO = peer_fleet.Place('kz-central', 'kz-2')
LIMA = peer_fleet.Place('lima-metro', 'lima-1')


class ScriptedClient(targets.TargetClient):
    """Returns reports set by the test; counts the requests for them."""

    def __init__(self) -> None:
        self.report_by_address: dict[str, targets.TargetReport] = {}
        self.polls = 0

    def report(
        self, address: str
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        self.polls += 1
        known = self.report_by_address.get(address)
        if known is None:
            return result.Failure(targets.NotSent(address))
        return result.Success(known)

    def open_stream(
        self, request: targets.RoutedRequest, token_gap_s: float
    ) -> result.Result[targets.TokenStream, targets.TargetError]:
        raise NotImplementedError

    def send_order(
        self, address: str, order: targets.Order
    ) -> result.Result[targets.TargetReport, targets.TargetError]:
        raise NotImplementedError


def engine(number: int, place: peer_fleet.Place) -> instances.ListedInstance:
    return instances.ListedInstance(
        f'10.1.0.{number}:9000',
        instances.Role.ENGINE,
        place.region,
        place.zone,
    )


def started(
    count: int, places: tuple[peer_fleet.Place, ...]
) -> peer_fleet.PeerFleet:
    fleet = peer_fleet.PeerFleet(5)
    fleet.start_many(count, places)
    assert fleet.advance_until_agreed(60.0) < 60.0
    return fleet


def assignments_of(
    fleet: peer_fleet.PeerFleet,
) -> list[assignments.JobAssignments]:
    return [
        assignments.JobAssignments(node.service.view)
        for node in fleet.node_by_address.values()
    ]


def test_each_target_has_two_pollers_of_its_zone() -> None:
    fleet = started(12, (KZ, KZ_TWO, LIMA))
    listed = [engine(n, (KZ, KZ_TWO, LIMA)[n % 3]) for n in range(30)]
    pollers: dict[str, list[str]] = {}
    for node in fleet.node_by_address.values():
        job_assignments = assignments.JobAssignments(node.service.view)
        for target in job_assignments.targets_to_poll(listed):
            assert target.zone == node.place.zone
            pollers.setdefault(target.address, []).append(node.address)
    assert {len(found) for found in pollers.values()} == {2}
    assert pollers.keys() == {target.address for target in listed}


def test_zone_with_one_instance_is_polled_by_its_region() -> None:
    fleet = started(3, (KZ, KZ_TWO, KZ_TWO))
    target = engine(1, KZ)
    chosen = [
        job_assignments.pollers_of(target)
        for job_assignments in assignments_of(fleet)
    ]
    assert chosen[0] == chosen[1] == chosen[2]
    assert len(set(member.instance_id for member in chosen[0])) == 2


def test_only_jobs_of_crashed_member_move() -> None:
    fleet = started(10, (KZ,))
    job_assignments = assignments_of(fleet)[0]
    ranges = [f'{number:02x}' for number in range(64)]
    before = {name: job_assignments.owner_of(name) for name in ranges}
    lost = fleet.node_by_address['10.0.0.7:7000'].service.instance_id
    fleet.crash('10.0.0.7:7000')
    fleet.advance_until_agreed(60.0)
    for name in ranges:
        owner, old = job_assignments.owner_of(name), before[name]
        assert owner is not None and old is not None
        if old.instance_id != lost:
            assert owner.instance_id == old.instance_id
        else:
            assert owner.instance_id != lost


def test_leaving_instance_is_assigned_no_jobs() -> None:
    fleet = started(4, (KZ,))
    leaving = fleet.node_by_address['10.0.0.2:7000'].service
    leaving.leave()
    fleet.clock.advance(10.0)
    for job_assignments in assignments_of(fleet):
        watchers = job_assignments.watchers_of('kz-1')
        assert len(watchers) == assignments.WATCHERS_PER_ZONE
        holders = {member.instance_id for member in watchers}
        owners = [
            job_assignments.owner_of(str(number)) for number in range(50)
        ]
        holders |= {owner.instance_id for owner in owners if owner}
        assert leaving.instance_id not in holders


class PollingInstance:
    """An instance that polls one target."""

    def __init__(self) -> None:
        self.fleet = started(1, (KZ,))
        [node] = self.fleet.node_by_address.values()
        self.state = node.service.soft_state
        self.client = ScriptedClient()
        self.listed = [engine(1, KZ)]
        self.poller = polling.TargetPoller(
            assignments.JobAssignments(node.service.view),
            self.state,
            self.client,
            lambda: self.listed,
            node.timer,
            metrics.MemoryMetrics(),
        )

    def poll(self) -> None:
        self.poller.tick()
        gevent.sleep(0)

    def answer(self, **fields: object) -> None:
        address = self.listed[0].address
        report = targets.TargetReport(address, (), 2000.0, 1, 0)
        self.client.report_by_address[address] = report._replace(**fields)


def test_polled_report_is_published() -> None:
    polling_instance = PollingInstance()
    polling_instance.answer()
    polling_instance.poll()
    assert list(polling_instance.state.report_by_address()) == [
        '10.1.0.1:9000'
    ]


def test_one_failed_poll_keeps_the_report_and_two_withdraw_it() -> None:
    polling_instance = PollingInstance()
    polling_instance.answer()
    polling_instance.poll()
    polling_instance.client.report_by_address.clear()
    polling_instance.poll()
    assert polling_instance.state.report_by_address()
    polling_instance.poll()
    assert not polling_instance.state.report_by_address()


def test_report_of_unassigned_target_is_withdrawn() -> None:
    polling_instance = PollingInstance()
    polling_instance.answer()
    polling_instance.poll()
    polling_instance.listed = []
    polling_instance.poll()
    assert not polling_instance.state.report_by_address()


def test_leaving_is_published_from_list_and_report() -> None:
    by_list, by_target = PollingInstance(), PollingInstance()
    by_list.listed = [by_list.listed[0]._replace(leaving=True)]
    by_target.answer(leaving=True)
    for polling_instance in (by_list, by_target):
        polling_instance.poll()
        assert polling_instance.state.leaving_targets() == {'10.1.0.1:9000'}
