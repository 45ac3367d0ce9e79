"""A leaving target gets no new work, whatever source reported it."""

from collections.abc import Callable
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import addresses
from cactusmux_entry import leaving_watch
from cactusmux_entry import plain_targets
from cactusmux_platform import instances
from cactusmux_platform import plain_services
import pytest

GOSSIP_DELAY_S = 0.5
LISTING = tuple(
    instances.ListedInstance(
        f'10.0.1.{number}:80',
        instances.Role.PLAIN,
        'lima-metro',
        zone,
        service='registry',
    )
    for number, zone in ((1, 'lima-metro-a'), (2, 'lima-metro-b'))
)
LEAVING = LISTING[0].address


class Fleet:
    """Three instances that report leaving targets to each other."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.published: list[str] = []
        self.reports: list[set[str]] = [set(), set(), set()]
        self.watches = [self._watch(number) for number in range(3)]
        self.targets = [
            plain_targets.ListedPlainTargets(
                lambda: LISTING,
                watch,
                addresses.Place('lima-metro-a', 'lima-metro'),
                self.clock,
                random.Random(1),
            )
            for watch in self.watches
        ]

    def _watch(self, number: int) -> leaving_watch.LeavingWatch:
        return leaving_watch.LeavingWatch(
            self.clock,
            metrics.MemoryMetrics(),
            self._publish,
            lambda: frozenset(self.reports[number]),
        )

    def _publish(self, address: str) -> None:
        self.published.append(address)
        for known in self.reports:
            self.clock.after(GOSSIP_DELAY_S, lambda k=known: k.add(address))

    def candidates_at(self, number: int) -> tuple[str, ...]:
        return self.targets[number].candidates('registry')


def listed(fleet: Fleet) -> None:
    leaving = LISTING[0]._replace(leaving=True)
    fleet.watches[0].record_listing((leaving, LISTING[1]))


def refused(fleet: Fleet) -> None:
    fleet.targets[0].record_failure(
        LEAVING, plain_services.ServiceRefused(LEAVING, 'leaving')
    )


def reported(fleet: Fleet) -> None:
    fleet.watches[0].record_sign(LEAVING, leaving_watch.Source.REPORT)


@pytest.mark.parametrize('sign', [listed, refused, reported])
def test_first_sign_from_any_source_ends_new_work_everywhere(
    sign: Callable[[Fleet], None],
) -> None:
    fleet = Fleet()
    assert fleet.candidates_at(0)[0] == LEAVING
    sign(fleet)
    assert LEAVING not in fleet.candidates_at(0)
    fleet.clock.advance(GOSSIP_DELAY_S)
    assert all(LEAVING not in fleet.candidates_at(n) for n in range(3))
    # The list lags, so an entry without the mark changes nothing.
    fleet.watches[0].record_listing(LISTING)
    sign(fleet)
    assert LEAVING not in fleet.candidates_at(0)
    assert fleet.published == [LEAVING]


def test_address_is_used_again_after_the_last_sign_expired() -> None:
    fleet = Fleet()
    reported(fleet)
    fleet.reports[0].clear()
    fleet.clock.advance(0.4)
    fleet.reports[0] = set()
    fleet.clock.advance(leaving_watch.SIGN_LIFETIME_S - 1.0)
    assert LEAVING not in fleet.candidates_at(0)
    fleet.clock.advance(1.1)
    fleet.reports[0] = set()
    assert LEAVING in fleet.candidates_at(0)


def test_entry_instances_in_the_list_are_not_targets() -> None:
    fleet = Fleet()
    entry = LISTING[0]._replace(role=instances.Role.ENTRY, leaving=True)
    fleet.watches[0].record_listing((entry,))
    assert fleet.published == []


@pytest.mark.parametrize(
    'failure, first',
    [
        (plain_services.NotSent(LEAVING), LISTING[1].address),
        (plain_services.PlainOutcomeUnknown(LEAVING), LISTING[1].address),
        (plain_services.ServiceRefused(LEAVING, 'busy'), LEAVING),
        (plain_services.AnswerTooLarge(LEAVING), LEAVING),
    ],
)
def test_failed_instance_is_avoided_temporarily(
    failure: plain_services.PlainError, first: str
) -> None:
    fleet = Fleet()
    fleet.targets[0].record_failure(LEAVING, failure)
    assert fleet.candidates_at(0)[0] == first
    fleet.clock.advance(plain_targets.FAILURE_BACKOFF_S)
    assert fleet.candidates_at(0)[0] == LEAVING
