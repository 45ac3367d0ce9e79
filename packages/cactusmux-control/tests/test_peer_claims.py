"""Tests of claims forwarded between instances."""

import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import batched_claims
from cactusmux_control import claim_owner
from cactusmux_control import claims
from cactusmux_control import peer_claims
from cactusmux_fakes import memory_peers
from cactusmux_fakes import memory_store
from cactusmux_peers import peer_service
from cactusmux_peers import transport
import pytest
from returns import result

SETTINGS = claims.ClaimSettings()
ADDRESSES = ('1', '2', '3')


class Fleet:
    """Instances that forward claims over an in-memory network."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.network = memory_peers.MemoryNetwork(random.Random(2))
        self.services: dict[str, peer_service.PeerService] = {}
        self.claims_by_address = {a: self._start(a) for a in ADDRESSES}
        self.clock.advance(10.0)

    def _start(self, address: str) -> batched_claims.BatchedClaims:
        metric = metrics.MemoryMetrics()
        service = peer_service.PeerService(
            peer_service.PeerSettings(address, 'r', 'a', ADDRESSES[:1]),
            memory_peers.MemoryTransport(self.network, address),
            self.clock,
            metric,
            rng=random.Random(address),
            instance_id=f'i-{address}',
        )
        owner = claim_owner.ClaimOwner(
            self.store, self.clock, metric, SETTINGS
        )
        forwarder = peer_claims.PeerClaimForwarder(owner, service)
        service.start()
        self.services[address] = service
        return batched_claims.BatchedClaims(
            forwarder, self.clock, metric, f'i-{address}', SETTINGS
        )

    def claim(
        self, address: str, key: str, resume_ids: tuple[str, ...] = ()
    ) -> claims.Claimed:
        request = claims.ClaimRequest('s', 'o', key, 'd', 10.0, resume_ids)
        return self.claims_by_address[address].claim(request)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


def test_each_key_has_one_winner_through_any_instance(fleet) -> None:
    for number in range(30):
        key = f'k-{number}'
        claimed = [fleet.claim(address, key) for address in ADDRESSES]
        assert isinstance(claimed[0].unwrap(), claims.Grant)
        for later in claimed[1:]:
            assert type(later.failure()) is claims.ClaimInProgress
    owners = {
        entry.key.split('/')[1]
        for entry in fleet.store.get_prefix('claim-log/').unwrap()
    }
    assert len(owners) > 10


def test_outcome_is_known_through_any_instance(fleet) -> None:
    outcome = claims.Outcome(201, 'text/plain', b'done')
    grant = fleet.claim('1', 'k').unwrap()
    fleet.claims_by_address['1'].finish(grant, outcome)
    fleet.claims_by_address['1'].retry_pending()
    assert fleet.claims_by_address['1'].pending() == 0
    assert fleet.claim('2', 'k') == result.Success(outcome)


def test_dead_owner_is_replaced_without_losing_claims(fleet) -> None:
    keys = [f'k-{number}' for number in range(30)]
    for key in keys:
        fleet.claim('1', key).unwrap()
    fleet.network.detach('2')
    fleet.services['2'].stop()
    fleet.clock.advance(30.0)
    for key in keys:
        late = fleet.claim('3', key).failure()
        assert type(late) is claims.ClaimOutcomeUnknown


def test_only_one_side_of_a_partition_wins_a_claim(fleet) -> None:
    fleet.network.split(['1'])
    fleet.clock.advance(30.0)
    for number in range(20):
        key = f'k-{number}'
        both = [fleet.claim(address, key) for address in ('1', '2', '1')]
        won = [
            claimed for claimed in both if isinstance(claimed, result.Success)
        ]
        assert len(won) == 1


def test_lost_responses_never_cause_a_second_win(fleet) -> None:
    fleet.network.loss = 0.3
    wins = 0
    resume_ids: tuple[str, ...] = ()
    for number in range(60):
        claimed = fleet.claim(ADDRESSES[number % 3], 'k', resume_ids)
        if isinstance(claimed, result.Success):
            wins += 1
            continue
        failure = claimed.failure()
        if isinstance(failure, claims.ClaimsUnavailable):
            resume_ids = failure.resume_ids
    assert wins == 1


def test_malformed_writes_are_refused(fleet) -> None:
    called = fleet.services['1'].forward('2', 'claims', b'{', 1.0)
    assert type(called.failure()) is transport.PeerRefused
