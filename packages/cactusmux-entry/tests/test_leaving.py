"""A leaving target gets no new work, whoever saw the first sign."""

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

NEWS_DELAY_S = 0.5
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
LEAVES = LISTING[0].address


class Fleet:
    """Three instances that pass news of leaving targets on."""

    def __init__(self) -> None:
        self.clock = timers.ManualTimers()
        self.published: list[str] = []
        self.news: list[set[str]] = [set(), set(), set()]
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
            lambda: frozenset(self.news[number]),
        )

    def _publish(self, address: str) -> None:
        self.published.append(address)
        for known in self.news:
            self.clock.after(NEWS_DELAY_S, lambda k=known: k.add(address))

    def chosen_by(self, number: int) -> tuple[str, ...]:
        return self.targets[number].candidates('registry')


def listed(fleet: Fleet) -> None:
    leaving = LISTING[0]._replace(leaving=True)
    fleet.watches[0].record_listing((leaving, LISTING[1]))


def refused(fleet: Fleet) -> None:
    fleet.targets[0].note_failure(
        LEAVES, plain_services.ServiceRefused(LEAVES, 'leaving')
    )


def reported(fleet: Fleet) -> None:
    fleet.watches[0].note(LEAVES, leaving_watch.Source.REPORT)


@pytest.mark.parametrize('sign', [listed, refused, reported])
def test_first_sign_from_any_source_ends_new_work_everywhere(
    sign: Callable[[Fleet], None],
) -> None:
    fleet = Fleet()
    assert fleet.chosen_by(0)[0] == LEAVES
    sign(fleet)
    assert LEAVES not in fleet.chosen_by(0)
    fleet.clock.advance(NEWS_DELAY_S)
    assert all(LEAVES not in fleet.chosen_by(n) for n in range(3))
    # The list lags: an entry that is not marked yet takes nothing back.
    fleet.watches[0].record_listing(LISTING)
    sign(fleet)
    assert LEAVES not in fleet.chosen_by(0)
    assert fleet.published == [LEAVES]


def test_address_is_used_again_some_time_after_the_last_sign() -> None:
    fleet = Fleet()
    reported(fleet)
    fleet.news[0].clear()
    fleet.clock.advance(0.4)
    fleet.news[0] = set()
    fleet.clock.advance(leaving_watch.SIGN_KEPT_S - 1.0)
    assert LEAVES not in fleet.chosen_by(0)
    fleet.clock.advance(1.1)
    fleet.news[0] = set()
    assert LEAVES in fleet.chosen_by(0)


def test_entry_instances_in_the_list_are_no_targets() -> None:
    fleet = Fleet()
    entry = LISTING[0]._replace(role=instances.Role.ENTRY, leaving=True)
    fleet.watches[0].record_listing((entry,))
    assert fleet.published == []


@pytest.mark.parametrize(
    'failure, first',
    [
        (plain_services.NotSent(LEAVES), LISTING[1].address),
        (plain_services.PlainOutcomeUnknown(LEAVES), LISTING[1].address),
        (plain_services.ServiceRefused(LEAVES, 'busy'), LEAVES),
        (plain_services.AnswerTooLarge(LEAVES), LEAVES),
    ],
)
def test_failed_instance_is_avoided_for_a_while(
    failure: plain_services.PlainError, first: str
) -> None:
    fleet = Fleet()
    fleet.targets[0].record_failure(LEAVES, failure)
    assert fleet.chosen_by(0)[0] == first
    fleet.clock.advance(plain_targets.AVOIDED_S)
    assert fleet.chosen_by(0)[0] == LEAVES
