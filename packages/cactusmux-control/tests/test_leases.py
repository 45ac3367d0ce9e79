"""Tests of acquiring, renewing, losing and releasing a lease."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import lease_types
from cactusmux_control import leases
from cactusmux_fakes import memory_store
from cactusmux_fakes import scripted_store
import pytest

SETTINGS = lease_types.LeaseSettings()
KEY = 'leases/orders'


class Bed:
    """Test bed with two candidates and a shared store."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.store = memory_store.MemoryStore(self.clock)
        self.metric = metrics.MemoryMetrics()
        self.store_clients = [
            scripted_store.ScriptedStore(self.store, self.clock)
            for _ in range(2)
        ]
        self.holders = [self.new_holder(n) for n in range(2)]
        self.notifications: list[lease_types.Authority | None] = []
        self.holders[0].subscribe(self.notifications.append)

    def new_holder(self, number: int) -> leases.LeaseHolder:
        return leases.LeaseHolder(
            self.store_clients[number],
            self.clock,
            self.metric,
            leases.ORDER_LEASE,
            f'10.0.0.{number}:80',
        )

    def fencing(self) -> int:
        authority = self.holders[0].authority()
        assert authority is not None
        return authority.fencing


def test_second_candidate_waits_and_takes_over_with_higher_number() -> None:
    bed = Bed()
    bed.holders[0].step()
    first = bed.fencing()
    bed.holders[1].step()
    assert bed.holders[1].authority() is None
    bed.clock.advance(SETTINGS.ttl_s)
    bed.holders[1].step()
    second = bed.holders[1].authority()
    assert second is not None
    assert second.fencing > first
    assert bed.holders[0].authority() is None


def test_started_holder_renews_and_keeps_its_number() -> None:
    bed = Bed()
    bed.holders[0].start()
    bed.clock.advance(SETTINGS.period_s)
    first = bed.fencing()
    bed.clock.advance(100.0)
    assert bed.fencing() == first
    assert len(bed.notifications) == 1


def test_validity_counts_from_before_the_renewal_was_sent() -> None:
    bed = Bed()
    bed.holders[0].step()
    bed.store_clients[0].scripts = [
        scripted_store.Script(before_s=1.0, after_s=3.0)
    ]
    sent_at = bed.clock.now()
    bed.holders[0].step()
    authority = bed.holders[0].authority()
    assert authority is not None
    limit = sent_at + SETTINGS.ttl_s - SETTINGS.margin_s
    assert authority.valid_until == limit


def test_authority_must_last_for_the_delivery() -> None:
    bed = Bed()
    bed.holders[0].step()
    bed.clock.advance(SETTINGS.ttl_s - SETTINGS.margin_s - 1.0)
    assert bed.holders[0].authority() is not None
    assert bed.holders[0].authority(SETTINGS.delivery_s) is None


def test_outage_ends_authority_a_margin_early_and_calls_subscribers() -> None:
    bed = Bed()
    bed.holders[0].start()
    bed.clock.advance(SETTINGS.period_s)
    bed.store_clients[0].scripts = [scripted_store.Script(dropped=True)] * 100
    bed.clock.advance(SETTINGS.ttl_s - SETTINGS.margin_s)
    assert bed.holders[0].authority() is None
    assert bed.notifications[-1] is None
    assert bed.metric.counter_by_name['leases.lost.lease_expired'] == 1
    bed.clock.advance(60.0)
    bed.store_clients[0].scripts = []
    bed.clock.advance(2 * SETTINGS.period_s)
    assert bed.fencing() > 0
    assert len(bed.notifications) == 3


def test_short_outage_keeps_number_as_nobody_held_it_between() -> None:
    bed = Bed()
    bed.holders[0].step()
    first = bed.fencing()
    bed.clock.advance(SETTINGS.ttl_s - SETTINGS.margin_s + 1.0)
    assert bed.holders[0].authority() is None
    bed.holders[0].step()
    assert bed.fencing() == first


@pytest.mark.parametrize('call', [1, 2])
def test_lost_response_of_claim_is_settled_by_reading_back(call: int) -> None:
    bed = Bed()
    fine = [scripted_store.Script()] * call
    bed.store_clients[0].scripts = [
        *fine,
        scripted_store.Script(unanswered=True),
    ]
    bed.holders[0].step()
    bed.holders[0].step()
    entry = bed.store.get(KEY).unwrap()
    assert entry is not None
    assert bed.fencing() == entry.revision


def test_claim_without_effect_is_not_confused_with_another() -> None:
    bed = Bed()
    bed.store_clients[0].scripts = [
        scripted_store.Script(),
        scripted_store.Script(),
        scripted_store.Script(late=True),
    ]
    bed.holders[0].step()
    bed.holders[1].step()
    assert bed.holders[1].authority() is not None
    bed.holders[0].step()
    assert bed.holders[0].authority() is None


def test_validity_of_a_claim_settled_late_counts_from_its_start() -> None:
    bed = Bed()
    asked_at = bed.clock.now()
    lost = scripted_store.Script(unanswered=True)
    dropped = scripted_store.Script(dropped=True)
    bed.store_clients[0].scripts = [
        scripted_store.Script(),
        scripted_store.Script(),
        lost,
        dropped,
    ]
    bed.holders[0].step()
    assert bed.holders[0].authority() is None
    bed.clock.advance(5.0)
    bed.holders[0].step()
    authority = bed.holders[0].authority()
    assert authority is not None
    limit = asked_at + SETTINGS.ttl_s - SETTINGS.margin_s
    assert authority.valid_until == limit


def test_delayed_write_of_abandoned_claim_cannot_acquire_the_lease() -> None:
    bed = Bed()
    bed.store_clients[0].scripts = [
        scripted_store.Script(),
        scripted_store.Script(),
        scripted_store.Script(late=True),
    ]
    bed.holders[0].step()
    dropped = scripted_store.Script(dropped=True)
    bed.store_clients[0].scripts = [
        scripted_store.Script(),
        scripted_store.Script(),
        dropped,
    ]
    bed.holders[0].step()
    bed.store_clients[0].deliver_late()
    assert bed.store.get(KEY).unwrap() is None
    assert bed.holders[0].authority() is None


def test_stop_releases_so_that_another_follows_at_once() -> None:
    bed = Bed()
    bed.holders[0].step()
    bed.holders[0].stop()
    assert bed.holders[0].authority() is None
    assert bed.notifications[-1] is None
    bed.holders[1].step()
    assert bed.holders[1].authority() is not None
    bed.holders[0].step()
    assert bed.holders[0].authority() is None


def test_stop_during_claim_leaves_no_authority_and_no_key() -> None:
    bed = Bed()
    bed.store_clients[0].scripts = [
        scripted_store.Script(),
        scripted_store.Script(),
        scripted_store.Script(after_s=1.0),
    ]
    stopped = bed.holders[0]

    def stop_meanwhile() -> None:
        stopped._stopped = True

    bed.store_clients[0].meanwhile = stop_meanwhile
    stopped.step()
    assert stopped.authority() is None
    assert bed.store.get(KEY).unwrap() is None


def test_orders_to_unfenced_targets_wait_for_the_previous_lease() -> None:
    bed = Bed()
    bed.holders[0].step()
    authority = bed.holders[0].authority()
    assert authority is not None
    wait_s = SETTINGS.ttl_s + SETTINGS.margin_s + SETTINGS.delivery_s
    assert authority.unfenced_from == bed.clock.now() + wait_s


def test_instance_that_is_no_candidate_makes_no_call() -> None:
    bed = Bed()
    idle = leases.LeaseHolder(
        bed.store_clients[1],
        bed.clock,
        bed.metric,
        leases.ORDER_LEASE,
        '10.0.0.9:80',
        may_acquire=lambda: False,
    )
    bed.store_clients[1].scripts = [scripted_store.Script()]
    idle.step()
    assert len(bed.store_clients[1].scripts) == 1


def test_waiting_candidates_do_not_write() -> None:
    bed = Bed()
    bed.holders[0].start()
    bed.holders[1].start()
    bed.clock.advance(60.0)
    assert bed.holders[0].authority() is not None
    assert bed.store_clients[1].writes == 0
