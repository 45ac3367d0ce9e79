"""How long a request looks for a path, and which pipes it may cross."""

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
    """Two halves of the layers, in two zones, and the pipe between them."""

    def __init__(self, busy_share):
        self.timer = timers.ManualTimers()
        self.soft = set()
        self.other_soft = set()
        self.limited_ids = frozenset()
        self.ledger = load_tracker.LoadTracker(self.timer)
        self.first = _target('first', 0, 40, 'a')
        self.second = _target('second', 40, 80, 'b')
        state = relay_rig.make_desired_state()
        self.book = target_registry.TargetRegistry()
        self._services = state.service_by_name
        self.book.replace([self.first, self.second], self._services)
        metric = metrics.MemoryMetrics()
        self.quota = pipe_quota.PipeQuota(self.timer, metric, random.Random(2))
        self.held = backoffs.Backoffs(self.book, self.timer, metric)
        self.down = down_targets.DownTargets(self.timer, random.Random(1))
        self.finder = path_finder.PathFinder(
            self.book,
            self.ledger,
            self.down,
            slow_targets.SlowTargets(silent_orders.SilentOrders(), self.timer),
            self.timer,
            metric,
            self.held,
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
        self.ledger.note_crossings(path, tokens)
        # What is averaged doesn't fade within the test.
        self.timer.every(
            0.005, lambda: self.ledger.note_crossings(path, tokens * 0.005)
        )

    def add(self, target):
        """Adds a target that holds layers."""
        members = [self.first, self.second, target]
        self.book.replace(members, self._services)

    def add_more(self, target):
        """Adds a target to those added before."""
        members = [*self.book.target_by_id.values(), target]
        self.book.replace(members, self._services)

    def is_usable(self, path):
        """Returns whether a path that was chosen may still be used."""
        return self.finder.is_usable(self._service.name, path)

    def wait_s(self):
        """Returns for how long no path can be had."""
        return self.finder.backoff_wait_s(self._service)

    def exchange(self):
        """Returns a request of a caller."""
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
        """Returns the choice and after how many seconds it was made."""
        begun = self.timer.now()
        choice = self.finder.choose(
            self.exchange(), DEMAND, set(avoided), wait_s, is_resumed
        )
        return choice, self.timer.now() - begun


def test_idle_pipe_is_crossed_at_once():
    choice, after_s = _Search(busy_share=0.02).choose(0.05)
    assert choice.path is not None
    assert after_s == 0.0


def test_busier_pipe_is_crossed_only_where_the_request_were_refused():
    """It would hold up all who use the pipe; the wait may find better."""
    choice, after_s = _Search(busy_share=0.3).choose(0.05)
    assert choice.path is not None
    assert after_s >= 0.05 - path_finder.ROOM_POLL_S


def test_who_may_wait_long_waits_for_a_path_that_holds_up_nobody():
    search = _Search(busy_share=0.3)
    local = _target('local', 40, 80, 'a')
    search.timer.after(0.4, lambda: search.add(local))
    choice, after_s = search.choose(1.0)
    assert [stage.target.id for stage in choice.path] == ['first', 'local']
    assert after_s == pytest.approx(0.4, abs=path_finder.ROOM_POLL_S)


def test_full_pipe_is_never_crossed():
    choice, after_s = _Search(busy_share=0.8).choose(0.2)
    assert choice.path is None
    assert after_s >= 0.2


def test_path_avoids_who_is_to_be_left_alone():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.held.note_retry_after(search.first, 2.0, None)
    choice, after_s = search.choose(0.05)
    assert [stage.target.id for stage in choice.path] == ['other', 'second']
    assert after_s == 0.0


def test_chosen_path_is_not_used_once_a_stage_may_not_be():
    search = _Search(busy_share=0.02)
    choice, _ = search.choose(0.05)
    assert search.is_usable(choice.path)
    search.held.note_retry_after(search.first, 2.0, None)
    assert not search.is_usable(choice.path)
    search.timer.advance(2.1)
    assert search.is_usable(choice.path)
    search.down.mark(search.second, 'test')
    assert not search.is_usable(choice.path)


def test_chosen_path_is_not_used_once_a_stage_holds_other_layers():
    search = _Search(busy_share=0.02)
    choice, _ = search.choose(0.05)
    search.second = _target('second', 50, 80, 'b')
    search.add(_target('other', 0, 40, 'a'))
    assert not search.is_usable(choice.path)


def test_request_is_not_held_where_layers_are_left_alone_for_longer():
    search = _Search(busy_share=0.02)
    search.held.note_retry_after(search.first, 2.0, None)
    choice, after_s = search.choose(1.0)
    assert choice.path is None
    assert after_s == 0.0
    assert search.wait_s() == 2.0


def test_who_may_wait_waits_for_a_stage_that_may_be_asked_again_soon():
    search = _Search(busy_share=0.02)
    search.held.note_retry_after(search.first, 0.4, None)
    choice, after_s = search.choose(1.0)
    assert choice.path is not None
    assert after_s == pytest.approx(0.4, abs=path_finder.ROOM_POLL_S)
    assert search.wait_s() == 0.0


def test_wait_is_until_all_layers_may_be_asked_again():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.held.note_retry_after(search.first, 3.0, None)
    assert search.wait_s() == 0.0
    search.held.note_retry_after(search.second, 2.0, None)
    assert search.wait_s() == 2.0
    search.held.note_retry_after(search.book.target_by_id['other'], 5.0, None)
    assert search.wait_s() == 3.0


def _search_in_large_fleet():
    """A search whose instance has used its usual share of the pipe."""
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


def test_pipe_without_a_share_left_is_not_crossed():
    """Instances that see an idle pipe would all cross it at once."""
    search = _search_in_large_fleet()
    for _ in range(2):
        if search.choose(0.0)[0].path is not None:
            _use_share(search)
    choice, _ = search.choose(0.05)
    assert choice.path is None
    assert choice.withheld_pipes == 1
    assert search.metric.counter_by_name['relay.pipe_quota.withheld'] >= 1


def test_path_within_the_zone_is_taken_where_there_is_no_share():
    search = _search_in_large_fleet()
    for _ in range(2):
        if search.choose(0.0)[0].path is not None:
            _use_share(search)
    search.add(_target('near', 40, 80, 'a'))
    choice, after_s = search.choose(0.05)
    assert [stage.target.id for stage in choice.path] == ['first', 'near']
    assert after_s == 0.0


def test_share_is_free_again_when_a_send_was_rejected():
    """Each rejected send would cost the instance its share for seconds."""
    search = _search_in_large_fleet()
    grant = _use_share(search)
    search.finder.release_crossings(grant)
    assert search.choose(0.0)[0].path is not None


def test_hand_over_holds_its_share_until_it_is_released():
    """Streams that secure paths together would all cross the same pipe."""
    search = _search_in_large_fleet()
    budget = retry_budget.RetryBudget(search.timer, 1.0, 100.0, 10.0)
    budget.set_instances(1)
    waiting = [
        failover_reservation.FailoverReservation(
            search.finder, search.ledger, budget, search.exchange(), DEMAND
        )
        for _ in range(3)
    ]
    secured = [each for each in waiting if each.reserve(set())]
    assert 1 <= len(secured) <= 2
    assert search.choose(0.0)[0].path is None
    for each in secured:
        each.release()
    assert search.choose(0.0)[0].path is not None


def test_small_fleet_crosses_as_before():
    search = _Search(busy_share=0.0)
    search.quota.set_instances(13)
    for _ in range(5):
        _use_share(search)
    assert search.choose(0.0)[0].path is not None


def test_softly_excluded_target_is_not_used_while_others_are_left():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    for soft, used in (('first', 'other'), ('other', 'first')):
        search.soft = {soft}
        choice, after_s = search.choose(0.05)
        assert [each.target.id for each in choice.path] == [used, 'second']
        assert after_s == 0.0


def test_exclusions_of_several_parts_add_up():
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.add_more(_target('third', 0, 40, 'a'))
    search.soft = {'first'}
    search.other_soft = {'other'}
    choice, _ = search.choose(0.05)
    assert [each.target.id for each in choice.path] == ['third', 'second']


def test_softly_excluded_target_is_used_at_once_if_no_other_is_left():
    """A request was not to wait, nor to be refused, for a soft exclusion."""
    search = _Search(busy_share=0.02)
    search.soft = {'first', 'second'}
    choice, after_s = search.choose(0.05)
    assert [each.target.id for each in choice.path] == ['first', 'second']
    assert after_s == 0.0


def test_soft_exclusion_does_not_bring_back_who_may_not_be_used():
    """Giving way concerns soft exclusions alone."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.soft = {'other'}
    search.held.note_retry_after(search.first, 2.0, None)
    choice, _ = search.choose(0.0)
    assert [each.target.id for each in choice.path] == ['other', 'second']
    choice, _ = search.choose(0.0, avoided=('other',))
    assert choice.path is None


def _names(choice):
    return [stage.target.id for stage in choice.path]


def test_path_avoids_a_stage_at_its_limit_while_there_is_another():
    """Else a target that has just started would be sent its full load."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    for limited in ('first', 'other'):
        search.limited_ids = frozenset((limited,))
        choice, after_s = search.choose(0.05)
        assert limited not in _names(choice)
        assert after_s == 0.0


def test_stage_at_its_limit_is_used_at_once_where_there_is_no_other():
    """A limit is never a reason to refuse a request or to hold it."""
    search = _Search(busy_share=0.02)
    search.limited_ids = frozenset(('first', 'second'))
    choice, after_s = search.choose(0.05)
    assert _names(choice) == ['first', 'second']
    assert after_s == 0.0


def test_resumed_stream_may_use_a_stage_at_its_limit():
    """Its caller is waiting for the next event already."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'b'))
    usual, _ = search.choose(0.05)
    search.limited_ids = frozenset((_names(usual)[0],))
    choice, _ = search.choose(0.05)
    assert _names(choice) != _names(usual)
    choice, _ = search.choose(0.05, is_resumed=True)
    assert _names(choice) == _names(usual)


def test_stage_at_its_limit_is_used_before_one_that_is_softly_excluded():
    """A target that fails requests is worse than one that is cold."""
    search = _Search(busy_share=0.02)
    search.add(_target('other', 0, 40, 'a'))
    search.limited_ids = frozenset(('first',))
    search.soft = {'other'}
    choice, _ = search.choose(0.05)
    assert _names(choice) == ['first', 'second']


@pytest.fixture(name='counted')
def _counted(monkeypatch):
    """Counts the sums of loads and the searches."""
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


def test_loads_are_summed_once_for_all_searches_of_one_look(counted):
    """Each of up to four searches summed those of 32 peers anew, in 1 ms."""
    search = _Search(busy_share=0.0)
    search.quota.set_instances(72)
    search.limited_ids = frozenset(('first',))
    # Without any target for half of the layers no search finds a path.
    search.held.note_retry_after(search.second, 2.0, None)
    search.add(_target('other', 0, 40, 'a'))
    search.soft = {'other'}
    choice, _ = search.choose(0.0)
    assert choice.path is None
    assert counted == {'sums': 1, 'searches': 4}


def test_one_search_is_made_where_no_target_is_to_be_spared(counted):
    """Requests that wait search each 10 ms."""
    search = _Search(busy_share=0.02)
    choice, _ = search.choose(0.05)
    assert choice.path is not None
    assert counted == {'sums': 1, 'searches': 1}
