"""When paths may begin under the rate limits of first stages."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import sample_engine
from cactusmux_fakes import single_limiter
from cactusmux_relay import dialect
from cactusmux_relay import first_stages
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest

SERVICE = sample_engine.SERVICE
PER_S = 4.0


class _Setup:
    def __init__(self):
        self.timer = timers.ManualTimers()
        self.registry = target_registry.TargetRegistry()
        self.first = self._target('first', 0, 40)
        self.other = self._target('other', 0, 20)
        self.later = self._target('later', 40, 80)
        self.registry.replace([self.first, self.other, self.later], {})
        self.limiter = single_limiter.build_limiter(
            self.registry, self.timer, metrics.MemoryMetrics(), instances=2
        )
        self.excluded = set()
        self.stages = first_stages.FirstStages(
            self.registry, self.limiter, lambda: self.excluded
        )
        self.stages.record_request(SERVICE)
        self.timer.advance(1.0)

    def _target(self, name, first, end):
        layers = targets.LayerRange(first, end)
        return sample_engine.target(name, 'a100', 'a', layers)

    def limit(self, *limited):
        for each in limited:
            reading = dialect.RateLimitReading(PER_S)
            self.limiter.record_response(each, reading, self.timer.now())
            # Uses the credit that there is.
            while self.limiter.take(each):
                pass


@pytest.fixture(name='setup')
def _setup():
    return _Setup()


def test_paths_may_begin_while_one_first_stage_has_no_limit(setup):
    setup.limit(setup.first)
    assert setup.stages.held_ids(SERVICE) == {'first'}
    assert setup.stages.wait_s(SERVICE, 5) == 0.0
    assert setup.stages.next_turn_s(SERVICE) == 0.0


def test_limits_of_later_stages_do_not_matter(setup):
    setup.limit(setup.later)
    assert setup.stages.wait_s(SERVICE, 0) == 0.0


def test_request_waits_for_its_turn_behind_those_ahead(setup):
    setup.limit(setup.first, setup.other)
    next_s = setup.stages.wait_s(SERVICE, 0)
    assert 0.0 < next_s <= 2.0 / PER_S
    # Two targets, each shared by two instances: one turn in 0.25 s.
    behind_s = setup.stages.wait_s(SERVICE, 4)
    assert behind_s == pytest.approx(next_s + 4 / PER_S)
    assert setup.stages.next_turn_s(SERVICE) == 0.5 / PER_S


def test_excluded_first_stages_are_no_way_out(setup):
    setup.limit(setup.first)
    setup.excluded = {'other'}
    assert setup.stages.wait_s(SERVICE, 0) > 0.0
