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


def test_stays_in_the_zone_while_there_is_room():
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, _load())
    assert _ids(choice) == ['first', 'second']


def test_target_without_room_for_the_request_is_not_used():
    load = _load(tokens={'second': 3000.0})
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, load)
    assert _ids(choice) == ['first', 'other']


def test_no_path_where_a_stage_has_no_room():
    load = _load(tokens={'first': 3000.0})
    choice = path_choice.choose(ENGINE, _graph(), DEMAND, load)
    assert choice.path is None
    assert choice.pause_ms == 0.0


def test_full_pipe_is_not_used():
    pipe = {('a', 'b'): ENGINE.pipe_tokens_per_s}
    load = _load(tokens={'second': 3000.0}, pipes=pipe)
    assert path_choice.choose(ENGINE, _graph(), DEMAND, load).path is None


def test_path_whose_events_would_be_late_is_refused():
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


def test_name_of_a_pipe_has_no_direction():
    assert path_choice.pipe_between('b', 'a') == path_choice.pipe_between(
        'a', 'b'
    )


def test_pipe_in_use_is_crossed_only_within_the_limit_given():
    pipe = {('a', 'b'): 0.3 * ENGINE.pipe_tokens_per_s}
    load = _load(tokens={'second': 3000.0}, pipes=pipe)
    graph = _graph()
    strict = path_choice.choose(ENGINE, graph, DEMAND, load)
    assert strict.path is None
    loose = path_choice.choose(
        ENGINE, graph, DEMAND, load, (), path_choice.LAST_RESORT_PIPE_LIMIT
    )
    assert _ids(loose) == ['first', 'other']


def _copies(count):
    """Like copies of the model, each on one target."""
    return segments.SegmentGraph(
        ENGINE._replace(layers=20),
        [_target(f'c{number}', 0, 20, 'a100', 'a') for number in range(count)],
    )


def test_instances_that_know_the_same_choose_different_paths():
    """All of a large fleet chose the same one until they heard of it."""
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


def test_spread_prices_lead_to_no_full_target():
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
