"""Tests of the choice of targets that replace lost stages of a stream."""

import collections
import random

from cactusmux_fakes import sample_engine
from cactusmux_relay import cost_model
from cactusmux_relay import path_choice
from cactusmux_relay import stage_replacement
from cactusmux_relay import targets
import hypothesis
from hypothesis import strategies
import pytest

# Layers are so small that each target can hold any range.
ENGINE = sample_engine.ENGINE._replace(layer_mb=100.0)
SO_FAR = 900.0
TO_COME = 100.0


def _target(name, first, end, zone='a', card='a100'):
    layers = targets.LayerRange(first, end)
    return sample_engine.target(name, card, zone, layers)


def _path(*found):
    return tuple(cost_model.Stage(each, each.layers) for each in found)


PATH = _path(
    _target('p0', 0, 20), _target('p1', 20, 50), _target('p2', 50, 80)
)


def _loss(*lost, path=PATH):
    return stage_replacement.StageLoss(
        path, frozenset(lost), SO_FAR, TO_COME, 0.25
    )


def _pool_state(ready, tokens=None, requests=None, pipes=None, **changes):
    load = path_choice.Load(tokens or {}, requests or {}, pipes or {}, {})
    pool_state = stage_replacement.PoolState(ready, load, frozenset(), {})
    return pool_state._replace(**changes)


def _find(loss, pool_state, draw=lambda: 0.5):
    return stage_replacement.find_replacement(ENGINE, loss, pool_state, draw)


def _ranges(found):
    return [(stage.target.id, *stage.layers) for stage in found.path]


def test_only_the_lost_stage_is_replaced():
    found = _find(_loss('p1'), _pool_state([_target('n', 20, 50)]))
    assert _ranges(found) == [('p0', 0, 20), ('n', 20, 50), ('p2', 50, 80)]
    assert [stage.target.id for stage in found.added] == ['n']


def test_target_with_more_layers_runs_only_the_lost_ones():
    found = _find(_loss('p1'), _pool_state([_target('n', 10, 60)]))
    assert _ranges(found)[1] == ('n', 20, 50)


def test_first_target_can_not_be_replaced():
    assert _find(_loss('p0'), _pool_state([_target('n', 0, 80)])) is None


def test_intact_path_is_not_changed():
    assert _find(_loss('other'), _pool_state([_target('n', 0, 80)])) is None


def test_several_targets_may_cover_one_range():
    ready = [_target('n', 15, 30), _target('m', 25, 45), _target('k', 45, 50)]
    found = _find(_loss('p1'), _pool_state(ready))
    assert _ranges(found)[1:-1] == [
        ('n', 20, 30),
        ('m', 30, 45),
        ('k', 45, 50),
    ]


def test_gap_is_not_covered_in_part():
    ready = [_target('n', 20, 40), _target('m', 41, 50)]
    assert _find(_loss('p1'), _pool_state(ready)) is None


def test_one_target_may_replace_consecutive_stages():
    found = _find(_loss('p1', 'p2'), _pool_state([_target('n', 20, 80)]))
    assert _ranges(found) == [('p0', 0, 20), ('n', 20, 80)]


@pytest.mark.parametrize('wide_first', [True, False])
def test_shared_candidate_goes_to_the_gap_without_another(
    wide_first,
):
    """A path may contain a target only once."""
    path = _path(
        _target('p0', 0, 10),
        _target('p1', 10, 20),
        _target('p2', 20, 30),
        _target('p3', 30, 80),
    )
    wide = _target('wide', 10, 80)
    narrow = _target('narrow', 10, 20, card='l4')
    if not wide_first:
        narrow = _target('narrow', 30, 80, card='l4')
    loss = _loss('p1', 'p3', path=path)
    found = _find(loss, _pool_state([wide, narrow]))
    assert {stage.target.id for stage in found.added} == {'wide', 'narrow'}


def test_targets_of_the_path_and_excluded_ones_are_not_used():
    inside = _target('p2', 20, 80)
    barred = _target('barred', 20, 50)
    pool_state = _pool_state([inside, barred], excluded=frozenset(['barred']))
    assert _find(_loss('p1'), pool_state) is None


def test_target_needs_memory_for_all_tokens():
    full = _target('full', 20, 50)
    room = cost_model.kv_cache_tokens(ENGINE, ENGINE.card_by_name['a100'], 30)
    limit = room * path_choice.MAX_CACHE_FILL
    just = {'full': limit - SO_FAR - TO_COME}
    over = {'full': limit - SO_FAR - TO_COME + 1.0}
    assert _find(_loss('p1'), _pool_state([full], tokens=just)) is not None
    assert _find(_loss('p1'), _pool_state([full], tokens=over)) is None


def test_target_in_the_same_zone_is_preferred_to_a_faster_one():
    near = _target('near', 20, 30, 'a', 'v100')
    rest = _target('rest', 30, 50, 'a', 'a100')
    far = _target('far', 20, 50, 'b', 'a100')
    found = _find(_loss('p1'), _pool_state([far, near, rest]))
    assert [stage.target.id for stage in found.added] == ['near', 'rest']


def test_link_is_crossed_if_the_zone_has_no_target_left():
    found = _find(_loss('p1'), _pool_state([_target('far', 20, 50, 'b')]))
    assert [stage.target.id for stage in found.added] == ['far']


def test_link_is_not_crossed_beyond_its_limit():
    limit = path_choice.PIPE_LIMIT * ENGINE.pipe_tokens_per_s
    far = _target('far', 20, 50, 'b')
    tokens = SO_FAR + TO_COME
    for in_use, is_found in ((limit - 1.1 * tokens, True), (limit, False)):
        pool_state = _pool_state([far], pipes={('a', 'b'): in_use})
        found = _find(_loss('p1'), pool_state, lambda: 0.0)
        assert (found is not None) == is_found


def test_streams_of_many_instances_stay_within_the_limit_of_a_link():
    """All streams see a free link at the same time and decide separately."""
    rng = random.Random(7)
    pool_state = _pool_state(
        [_target('far', 20, 50, 'b')], requests={'p1': 200.0}
    )
    crossed = sum(
        _find(_loss('p1'), pool_state, rng.random) is not None
        for _ in range(200)
    )
    limit = path_choice.PIPE_LIMIT * ENGINE.pipe_tokens_per_s
    assert 0 < crossed * (SO_FAR + TO_COME) < 2.0 * limit


def test_link_that_the_path_already_uses_needs_no_quota():
    """A new stage sends only new tokens over the link, not the prompt."""
    path = _path(
        _target('p0', 0, 20), _target('p1', 20, 50), _target('p2', 50, 80, 'b')
    )
    busy = {('a', 'b'): ENGINE.pipe_tokens_per_s}
    pool_state = _pool_state([_target('n', 20, 50)], pipes=busy)
    found = _find(_loss('p1', path=path), pool_state)
    assert [stage.target.id for stage in found.added] == ['n']


def test_prefill_assigned_before_leads_to_another_target():
    ready = [_target('n', 20, 50), _target('m', 20, 50)]
    first = _find(_loss('p1'), _pool_state(ready))
    reading = first.reading_ms_by_target
    second = _find(
        _loss('p1'), _pool_state(ready, reading_ms_by_target=reading)
    )
    assert first.added != second.added


def test_single_stream_always_gets_the_cheapest_target():
    rng = random.Random(3)
    ready = [_target('slow', 20, 30, card='v100'), _target('rest', 30, 50)]
    ready.append(_target('fast', 20, 50))
    pool_state = _pool_state(ready, requests={'p1': 1.0})
    for _ in range(50):
        found = _find(_loss('p1'), pool_state, rng.random)
        assert [stage.target.id for stage in found.added] == ['fast']


def test_instances_with_the_same_data_spread_over_equal_targets():
    """All streams of a lost stage chose the first target by name."""
    ready = [_target(f'n{index}', 20, 50) for index in range(6)]
    pool_state = _pool_state(ready, requests={'p1': 96.0})
    counts = collections.Counter(
        _find(_loss('p1'), pool_state, random.Random(seed).random)
        .added[0]
        .target.id
        for seed in range(96)
    )
    assert len(counts) == 6
    assert max(counts.values()) <= 2 * 96 / 6


def test_path_with_too_long_event_intervals_is_not_used():
    pool_state = _pool_state([_target('n', 20, 50)])
    slow = pool_state.load._replace(pace_by_target={'n': 200.0})
    assert _find(_loss('p1'), pool_state._replace(load=slow)) is None


_BOUNDARIES = strategies.integers(0, 80)
_POOL = strategies.lists(
    strategies.tuples(
        _BOUNDARIES,
        _BOUNDARIES,
        strategies.sampled_from('abc'),
        strategies.sampled_from(['a100', 'v100', 'l4']),
    ),
    max_size=12,
)


@hypothesis.settings(deadline=None, max_examples=200)
@hypothesis.given(
    _POOL,
    strategies.sets(strategies.sampled_from(['p1', 'p2', 'p3'])),
    strategies.integers(0, 2**32),
)
def test_any_replacement_is_a_valid_path(pool, lost, seed):
    """It runs each layer once and uses each target once.

    The first stage and all others that aren't lost are kept.
    """
    path = _path(
        _target('p0', 0, 20),
        _target('p1', 20, 40, 'b'),
        _target('p2', 40, 60),
        _target('p3', 60, 80, 'c'),
    )
    ready = [
        _target(f'n{number}', min(boundaries), max(boundaries), zone, card)
        for number, (*boundaries, zone, card) in enumerate(pool)
    ]
    pool_state = _pool_state(ready, requests={'p1': 5.0})
    loss = _loss(*lost, path=path)
    found = _find(loss, pool_state, random.Random(seed).random)
    if found is None:
        return
    parts = _ranges(found)
    assert parts[0] == ('p0', 0, 20)
    assert [first for _, first, _ in parts] == [
        0,
        *(end for _, _, end in parts[:-1]),
    ]
    assert parts[-1][2] == 80
    ids = [each for each, _, _ in parts]
    assert len(set(ids)) == len(ids)
    assert lost.isdisjoint(ids)
    assert all(
        stage.target.layers.covers(stage.layers) for stage in found.path
    )
    kept = [each for each in path if each.target.id not in lost]
    assert [each for each in found.path if each in kept] == kept
