"""What an instance knows of the rate limits that targets name."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_relay import dialect
from cactusmux_relay import rate_limits
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest

TARGET = targets.Target('one', 'portal', 'one:80', 'a', 6, False, 1)
PEER = rate_limits.Source.PEER


class _Setup:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.registry = target_registry.TargetRegistry()
        self.registry.replace([TARGET], {})
        self.metric = metrics.MemoryMetrics()
        self.limits = rate_limits.RateLimits(
            self.registry, self.timer, self.metric
        )
        self.limits.start()

    def answer(self, per_s, sent_s_ago=0.1, target=TARGET):
        reading = dialect.RateLimitReading(per_s)
        sent_at = self.timer.now() - sent_s_ago
        self.limits.record_response(target, reading, sent_at)

    @property
    def per_s(self):
        return self.limits.per_s(TARGET.start)


@pytest.fixture(name='known')
def _known():
    return _Setup()


def test_limit_holds_for_as_long_as_responses_name_it(known):
    assert known.per_s is None
    known.answer(8.0)
    assert known.per_s == 8.0
    known.timer.advance(1.0)
    known.answer(6.5)
    assert known.per_s == 6.5
    known.timer.advance(1.0)
    known.answer(None)
    assert known.per_s is None


def test_response_to_an_earlier_request_does_not_end_a_limit(known):
    known.answer(8.0)
    known.timer.advance(0.1)
    known.answer(None, sent_s_ago=0.2)
    assert known.per_s == 8.0
    known.answer(None, sent_s_ago=0.05)
    assert known.per_s is None


def test_limit_of_zero_still_allows_trials(known):
    known.answer(0.0)
    assert known.limits.limit_by_start[TARGET.start].per_s == 0.0
    assert known.per_s == rate_limits.MIN_TRIAL_PER_S


def test_limit_of_a_target_that_is_gone_ends_later(known):
    known.answer(8.0)
    known.registry.replace([], {})
    known.timer.advance(rate_limits.ABSENT_KEPT_S - 1.0)
    assert known.per_s == 8.0
    known.timer.advance(2.0)
    assert not known.limits.limit_by_start


def test_unreadable_value_neither_sets_nor_ends_a_limit(known):
    reading = dialect.RateLimitReading(unreadable='many')
    known.limits.record_response(TARGET, reading, known.timer.now())
    assert known.per_s is None
    known.answer(8.0)
    known.timer.advance(1.0)
    known.limits.record_response(TARGET, reading, known.timer.now())
    assert known.per_s == 8.0
    counted = known.metric.counter_by_name['relay.rate_limit.unreadable']
    assert counted == 2


def test_new_start_of_a_target_ends_its_limit(known):
    known.answer(8.0)
    known.registry.replace([TARGET._replace(born_ms=2)], {})
    known.timer.advance(rate_limits.REVIEW_PERIOD_S)
    assert not known.limits.limit_by_start


def test_newest_word_of_a_limit_holds(known):
    now = known.timer.now()
    found = rate_limits.RateLimit(8.0, now - 1.0)
    assert known.limits.merge(TARGET.start, found, PEER)
    ended = rate_limits.RateLimit(None, now - 2.0)
    assert not known.limits.merge(TARGET.start, ended, PEER)
    assert known.per_s == 8.0
    assert known.limits.merge(TARGET.start, ended._replace(at=now), PEER)
    assert not known.limits.merge(TARGET.start, found, PEER)
    assert known.per_s is None


def test_ended_limits_are_forgotten_and_the_number_is_bounded(known):
    for number in range(rate_limits.MAX_RECORDS + 5):
        start = targets.Start(f't{number}', 1)
        found = rate_limits.RateLimit(1.0, known.timer.now())
        known.limits.merge(start, found, PEER)
    assert len(known.limits.limit_by_start) == rate_limits.MAX_RECORDS
    known.timer.advance(0.1)
    for start in list(known.limits.limit_by_start):
        ended = rate_limits.RateLimit(None, known.timer.now())
        known.limits.merge(start, ended, PEER)
    known.timer.advance(rate_limits.ENDED_KEPT_S + 1.0)
    assert not known.limits.limit_by_start
