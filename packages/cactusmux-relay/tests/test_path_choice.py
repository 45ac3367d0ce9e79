import random

from cactusmux_fakes import sample_engine
from cactusmux_relay import path_choice
from cactusmux_relay import segments
from cactusmux_relay import targets

ENGINE = sample_engine.ENGINE
DEMAND = path_choice.Demand(800.0, 200.0, 0.25)


def _graph():
    return segments.SegmentGraph(
        ENGINE,
        [
            _target('first', 0, 40, 'a100', 'a'),
            _target('second', 40, 80, 'a100', 'a'),
            _target('other', 40, 80, 'a100', 'b'),
        ],
    )


def _target(name, first, end, card, zone):
    layers = targets.LayerRange(first, end)
    return sample_engine.target(name, card, zone, layers)


def _load(tokens=None, requests=None, pipes=None, paces=None):
    return path_choice.Load(
        tokens or {}, requests or {}, pipes or {}, paces or {}
    )


def _ids(choice):
    return [stage.target.id for stage in choice.path]


def test_path_stays_in_the_zone_while_there_is_capacity():
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, _load())
    assert _ids(choice) == ['first', 'second']


def test_target_without_capacity_is_not_used():
    load = _load(tokens={'second': 3000.0})
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, load)
    assert _ids(choice) == ['first', 'other']


def test_no_path_if_a_layer_range_has_no_capacity():
    load = _load(tokens={'first': 3000.0})
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, load)
    assert choice.path is None
    assert choice.pause_ms == 0.0


def test_path_does_not_begin_at_a_target_that_must_not_be_first():
    graph = segments.SegmentGraph(
        ENGINE,
        [
            _target('first', 0, 40, 'a100', 'a'),
            _target('equal', 0, 40, 'a100', 'a'),
            _target('second', 40, 80, 'a100', 'a'),
        ],
    )
    not_first = frozenset(('first', 'second'))
    choice = path_choice.choose(
        ENGINE, graph, DEMAND, _load(), not_first=not_first
    )
    assert _ids(choice) == ['equal', 'second']
    not_first |= {'equal'}
    choice = path_choice.choose(
        ENGINE, graph, DEMAND, _load(), not_first=not_first
    )
    assert choice.path is None


def test_full_link_is_not_used():
    pipe = {('a', 'b'): ENGINE.pipe_tokens_per_s}
    load = _load(tokens={'second': 3000.0}, pipes=pipe)
    assert path_choice.choose(ENGINE, _graph(), DEMAND, load).path is None


def test_path_with_too_long_event_intervals_is_rejected():
    load = _load(paces={'first': 60.0})
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, load)
    assert choice.path is None
    assert choice.pause_ms > 250.0


def test_slow_target_is_avoided():
    load = _load(paces={'second': 20.0})
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, load)
    assert _ids(choice) == ['first', 'other']


def test_excluded_targets_are_counted_and_left_out():
    choice = path_choice.choose(
        ENGINE, _graph(), DEMAND, _load(), excluded=('second',)
    )
    assert _ids(choice) == ['first', 'other']
    assert choice.excluded == 1


def test_key_of_a_link_has_no_direction():
    assert path_choice.pipe_between('b', 'a') == path_choice.pipe_between(
        'a', 'b'
    )


def test_loaded_link_is_crossed_only_within_the_given_limit():
    pipe = {('a', 'b'): 0.3 * ENGINE.pipe_tokens_per_s}
    load = _load(tokens={'second': 3000.0}, pipes=pipe)
    graph = _graph()
    usual_choice = path_choice.choose(ENGINE, graph, DEMAND, load)
    assert usual_choice.path is None
    last_resort_choice = path_choice.choose(
        ENGINE, graph, DEMAND, load, (), path_choice.LAST_RESORT_PIPE_LIMIT
    )
    assert _ids(last_resort_choice) == ['first', 'other']


def _copies(count):
    """Returns equal copies of the model, each on one target."""
    return segments.SegmentGraph(
        ENGINE._replace(layers=20),
        [_target(f'c{number}', 0, 20, 'a100', 'a') for number in range(count)],
    )


def test_instances_with_the_same_data_choose_different_paths():
    """Else a whole fleet uses one path until load reports arrive."""
    rng = random.Random(1)
    chosen = set()
    for _ in range(40):
        choice = path_choice.choose(
            ENGINE,
            _copies(4),
            DEMAND,
            _load(),
            draw=lambda: rng.uniform(-0.3, 0.3),
        )
        chosen.update(_ids(choice))
    assert chosen == {'c0', 'c1', 'c2', 'c3'}


def test_randomized_costs_never_select_a_full_target():
    load = _load(tokens={'c0': 1e6, 'c1': 1e6, 'c2': 1e6})
    rng = random.Random(1)
    for _ in range(20):
        choice = path_choice.choose(
            ENGINE,
            _copies(4),
            DEMAND,
            load,
            draw=lambda: rng.uniform(-0.3, 0.3),
        )
        assert _ids(choice) == ['c3']
