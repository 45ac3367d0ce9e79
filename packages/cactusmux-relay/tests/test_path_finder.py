"""Tests of the wait for a path and of the limits on links between zones."""

import collections
import random

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_fakes import relay_rig
from cactusmux_fakes import sample_engine
from cactusmux_fakes import silent_orders
from cactusmux_relay import backoffs
from cactusmux_relay import context
from cactusmux_relay import cost_model
from cactusmux_relay import dialect
from cactusmux_relay import down_targets
from cactusmux_relay import failover_reservation
from cactusmux_relay import http_server
from cactusmux_relay import load_tracker
from cactusmux_relay import path_choice
from cactusmux_relay import path_finder
from cactusmux_relay import path_queue
from cactusmux_relay import pipe_quota
from cactusmux_relay import retry_budget
from cactusmux_relay import slow_targets
from cactusmux_relay import target_registry
from cactusmux_relay import targets
import pytest

ENGINE = sample_engine.ENGINE
DEMAND = path_choice.Demand(800.0, 200.0, 0.25)


def _target(name, first, end, zone):
    layers = targets.LayerRange(first, end)
    return sample_engine.target(name, 'a100', zone, layers)


class _Search:
    """Two targets, each with half of the layers, in two linked zones."""

    def __init__(self, busy_share):
        self.timer = timers.ManualTimers()
        self.soft = set()
        self.other_soft = set()
        self.limited_ids = frozenset()
        self.ledger = load_tracker.LoadTracker(self.timer)
        self.first = _target('first', 0, 40, 'a')
        self.second = _target('second', 40, 80, 'b')
        state = relay_rig.make_desired_state()
        self.registry = target_registry.TargetRegistry()
        self._services = state.service_by_name
        self.registry.replace([self.first, self.second], self._services)
        metric = metrics.MemoryMetrics()
        self.quota = pipe_quota.PipeQuota(self.timer, metric, random.Random(2))
        self.backoff = backoffs.Backoffs(self.registry, self.timer, metric)
        self.down = down_targets.DownTargets(self.timer, random.Random(1))
        self.finder = path_finder.PathFinder(
            self.registry,
            self.ledger,
            self.down,
            slow_targets.SlowTargets(silent_orders.SilentOrders(), self.timer),
            self.timer,
            metric,
            self.backoff,
            random.Random(1),
            quota=self.quota,
            soft_exclusions=(
                lambda: frozenset(self.soft),
                lambda: frozenset(self.other_soft),
            ),
            at_limit=lambda: self.limited_ids,
        )
        self.metric = metric
        self._service = state.service_by_name[sample_engine.SERVICE]
        self._route = state.routes[0]
        self._keep_busy(busy_share)

    def _keep_busy(self, share):
        path = (
            cost_model.Stage(self.first, self.first.layers),
            cost_model.Stage(self.second, self.second.layers),
        )
        tokens = share * ENGINE.pipe_tokens_per_s
        self.ledger.record_crossings(path, tokens)
        # Keeps the moving average from decaying during the test.
        self.timer.every(
            0.005, lambda: self.ledger.record_crossings(path, tokens * 0.005)
        )

    def add(self, target):
        """Adds a target; removes those added before."""
        members = [self.first, self.second, target]
        self.registry.replace(members, self._services)

    def add_more(self, target):
        """Adds a target to those added before."""
        members = [*self.registry.target_by_id.values(), target]
        self.registry.replace(members, self._services)

    def is_usable(self, path):
        """Returns whether a path that was chosen earlier is still valid."""
        return self.finder.is_usable(self._service.name, path)

    def wait_s(self):
        """Returns how long backoff leaves no path."""
        return self.finder.backoff_wait_s(self._service)

    def exchange(self):
        """Returns the exchange of a new request."""
        facts = dialect.RequestFacts(
            'r1', 'h', None, None, '', 800.0, 200.0, None, None, []
        )
        return context.Exchange(
            request=None,
            facts=facts,
            answerer=http_server.Answerer,
            route=self._route,
            service=self._service,
            organisation=None,
            ends_at=self.timer.now() + 20.0,
        )

    def choose(self, wait_s, avoided=(), is_resumed=False):
        """Returns the choice and the seconds that it took."""
        begun = self.timer.now()
        rank = path_queue.Rank.RESUMED if is_resumed else path_queue.Rank.NEW
        choice = self.finder.choose(
            self.exchange(), DEMAND, set(avoided), wait_s, rank
        )
        return choice, self.timer.now() - begun


def test_idle_link_is_crossed_at_once():
    choice, after_s = _Search(busy_share=0.02).choose(0.05)
    assert choice.path is not None
    assert after_s == 0.0


def test_loaded_link_is_crossed_only_by_a_request_rejected_otherwise():
    """Crossing a loaded link delays all of its users.

    The request waits for a better path first.
    """
    choice, after_s = _Search(busy_share=0.3).choose(0.05)
    assert choice.path is not None
    assert after_s >= 0.05 - path_finder.PATH_POLL_S


def test_request_that_may_wait_gets_a_path_without_the_loaded_link():
    search = _Search(busy_share=0.3)
    local = _target('local', 40, 80, 'a')
    search.timer.after(0.4, lambda: search.add(local))
    choice, after_s = search.choose(1.0)
    assert [stage.target.id for stage in choice.path] == ['first', 'local']
    assert after_s == pytest.approx(0.4, abs=path_finder.PATH_POLL_S)


def test_full_link_is_never_crossed():
    choice, after_s = _Search(busy_share=0.8).choose(0.2)
    assert choice.path is None
    assert after_s >= 0.2


def test_path_avoids_target_in_backoff():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.backoff.record_retry_after(search.first, 2.0, None)
    choice, after_s = search.choose(0.05)
    assert [stage.target.id for stage in choice.path] == ['other', 'second']
    assert after_s == 0.0


def test_chosen_path_is_invalid_while_a_stage_is_excluded():
    search = _Search(busy_share=0.02)
    choice, _ = search.choose(0.05)
    assert search.is_usable(choice.path)
    search.backoff.record_retry_after(search.first, 2.0, None)
    assert not search.is_usable(choice.path)
    search.timer.advance(2.1)
    assert search.is_usable(choice.path)
    search.down.mark(search.second, 'test')
    assert not search.is_usable(choice.path)


def test_chosen_path_is_invalid_once_a_stage_holds_other_layers():
    search = _Search(busy_share=0.02)
    choice, _ = search.choose(0.05)
    search.second = _target('second', 50, 80, 'b')
    search.add(_target('other', 0, 40, 'a'))
    assert not search.is_usable(choice.path)


def test_no_wait_if_backoff_lasts_longer():
    search = _Search(busy_share=0.02)
    search.backoff.record_retry_after(search.first, 2.0, None)
    choice, after_s = search.choose(1.0)
    assert choice.path is None
    assert after_s == 0.0
    assert search.wait_s() == 2.0


def test_request_waits_for_a_backoff_that_ends_soon():
    search = _Search(busy_share=0.02)
    search.backoff.record_retry_after(search.first, 0.4, None)
    choice, after_s = search.choose(1.0)
    assert choice.path is not None
    assert after_s == pytest.approx(0.4, abs=path_finder.PATH_POLL_S)
    assert search.wait_s() == 0.0


def test_backoff_wait_lasts_until_all_layers_are_available():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.backoff.record_retry_after(search.first, 3.0, None)
    assert search.wait_s() == 0.0
    search.backoff.record_retry_after(search.second, 2.0, None)
    assert search.wait_s() == 2.0
    search.backoff.record_retry_after(
        search.registry.target_by_id['other'], 5.0, None
    )
    assert search.wait_s() == 3.0


def _search_in_large_fleet():
    """Returns a search in a fleet of 72 whose quota allows a crossing."""
    search = _Search(busy_share=0.0)
    search.quota.set_instances(72)
    limit = path_choice.LAST_RESORT_PIPE_LIMIT
    while not search.quota.may_cross(ENGINE, ('a', 'b'), limit):
        search.timer.advance(0.01)
    return search


def _use_share(search):
    choice, _ = search.choose(0.0)
    assert choice.path is not None
    return search.finder.reserve_crossings(
        search.exchange(), choice.path, DEMAND
    )


def test_link_without_quota_left_is_not_crossed():
    """Else all instances that see an idle link would cross it at once."""
    search = _search_in_large_fleet()
    for _ in range(2):
        if search.choose(0.0)[0].path is not None:
            _use_share(search)
    choice, _ = search.choose(0.05)
    assert choice.path is None
    assert choice.withheld_pipes == 1
    assert search.metric.counter_by_name['relay.pipe_quota.withheld'] >= 1


def test_path_within_the_zone_is_used_without_quota():
    search = _search_in_large_fleet()
    for _ in range(2):
        if search.choose(0.0)[0].path is not None:
            _use_share(search)
    search.add(_target('near', 40, 80, 'a'))
    choice, after_s = search.choose(0.05)
    assert [stage.target.id for stage in choice.path] == ['first', 'near']
    assert after_s == 0.0


def test_quota_is_released_when_a_send_was_rejected():
    """Else each rejection would use up the instance's quota for seconds."""
    search = _search_in_large_fleet()
    grant = _use_share(search)
    search.finder.release_crossings(grant)
    assert search.choose(0.0)[0].path is not None


def test_failover_reservation_holds_quota_until_release():
    """Else streams that reserve paths together would all cross one link."""
    search = _search_in_large_fleet()
    budget = retry_budget.RetryBudget(search.timer, 1.0, 100.0, 10.0)
    budget.set_instances(1)
    waiting = [
        failover_reservation.FailoverReservation(
            search.finder, search.ledger, budget, search.exchange(), DEMAND
        )
        for _ in range(3)
    ]
    reserved = [each for each in waiting if each.reserve(set())]
    assert 1 <= len(reserved) <= 2
    assert search.choose(0.0)[0].path is None
    for each in reserved:
        each.release()
    assert search.choose(0.0)[0].path is not None


def test_small_fleet_has_no_quota():
    search = _Search(busy_share=0.0)
    search.quota.set_instances(13)
    for _ in range(5):
        _use_share(search)
    assert search.choose(0.0)[0].path is not None


def test_softly_excluded_target_is_not_used_if_there_is_another():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    for soft, used in (('first', 'other'), ('other', 'first')):
        search.soft = {soft}
        choice, after_s = search.choose(0.05)
        assert [each.target.id for each in choice.path] == [used, 'second']
        assert after_s == 0.0


def test_soft_exclusions_of_several_sources_add_up():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.add_more(_target('third', 0, 40, 'a'))
    search.soft = {'first'}
    search.other_soft = {'other'}
    choice, _ = search.choose(0.05)
    assert [each.target.id for each in choice.path] == ['third', 'second']


def test_softly_excluded_target_is_used_at_once_if_there_is_no_other():
    """A soft exclusion must neither delay nor reject a request."""
    search = _Search(busy_share=0.02)
    search.soft = {'first', 'second'}
    choice, after_s = search.choose(0.05)
    assert [each.target.id for each in choice.path] == ['first', 'second']
    assert after_s == 0.0


def test_fallback_does_not_use_hard_excluded_targets():
    """The fallback search drops soft exclusions only."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.soft = {'other'}
    search.backoff.record_retry_after(search.first, 2.0, None)
    choice, _ = search.choose(0.0)
    assert [each.target.id for each in choice.path] == ['other', 'second']
    choice, _ = search.choose(0.0, avoided=('other',))
    assert choice.path is None


def _names(choice):
    return [stage.target.id for stage in choice.path]


def test_path_avoids_a_stage_at_its_limit_while_there_is_another():
    """Else a target that has just started would get its full load."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    for limited in ('first', 'other'):
        search.limited_ids = frozenset((limited,))
        choice, after_s = search.choose(0.05)
        assert limited not in _names(choice)
        assert after_s == 0.0


def test_stage_at_its_limit_is_used_at_once_where_there_is_no_other():
    """A slow-start limit must neither reject nor delay a request."""
    search = _Search(busy_share=0.02)
    search.limited_ids = frozenset(('first', 'second'))
    choice, after_s = search.choose(0.05)
    assert _names(choice) == ['first', 'second']
    assert after_s == 0.0


def test_resumed_stream_may_use_a_stage_at_its_limit():
    """Its caller is already waiting for the next event."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'b'))
    usual, _ = search.choose(0.05)
    search.limited_ids = frozenset((_names(usual)[0],))
    choice, _ = search.choose(0.05)
    assert _names(choice) != _names(usual)
    choice, _ = search.choose(0.05, is_resumed=True)
    assert _names(choice) == _names(usual)


def test_stage_at_its_limit_is_used_before_one_that_is_softly_excluded():
    """A target with failing requests is worse than one in slow start."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.limited_ids = frozenset(('first',))
    search.soft = {'other'}
    choice, _ = search.choose(0.05)
    assert _names(choice) == ['first', 'second']


@pytest.fixture(name='counted')
def _counted(monkeypatch):
    """Counts how often loads are summed and paths are searched."""
    counted = collections.Counter()
    sum_loads = load_tracker.LoadTracker.all_loads
    choose = path_choice.choose

    def count_sum(*args):
        counted['sums'] += 1
        return sum_loads(*args)

    def count_search(*args):
        counted['searches'] += 1
        return choose(*args)

    monkeypatch.setattr(load_tracker.LoadTracker, 'all_loads', count_sum)
    monkeypatch.setattr(path_choice, 'choose', count_search)
    return counted


def test_loads_are_summed_once_for_all_fallback_searches(counted):
    """Each of up to four searches summed the loads of 32 peers, in 1 ms."""
    search = _Search(busy_share=0.0)
    search.quota.set_instances(72)
    search.limited_ids = frozenset(('first',))
    # Without any target for half of the layers no search finds a path.
    search.backoff.record_retry_after(search.second, 2.0, None)
    search.add(_target('other', 0, 40, 'a'))
    search.soft = {'other'}
    choice, _ = search.choose(0.0)
    assert choice.path is None
    assert counted == {'sums': 1, 'searches': 4}


def test_one_search_is_made_without_soft_exclusions_and_limits(counted):
    """Waiting requests search every 10 ms, so a search must be cheap."""
    search = _Search(busy_share=0.02)
    choice, _ = search.choose(0.05)
    assert choice.path is not None
    assert counted == {'sums': 1, 'searches': 1}
