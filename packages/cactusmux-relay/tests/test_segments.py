from cactusmux_fakes import sample_engine
from cactusmux_relay import segments
from cactusmux_relay import targets
import hypothesis
from hypothesis import strategies


def _target(name, first, end, card='a100', zone='a'):
    layers = targets.LayerRange(first, end)
    return sample_engine.target(name, card, zone, layers)


def _cheapest(members, price=None, crossing=None):
    graph = segments.SegmentGraph(sample_engine.ENGINE, members)
    return graph.cheapest(
        price or (lambda segment: segment.idle_ms),
        crossing or (lambda zone, other: 0.0),
    )


def _assert_runs_every_layer_once(path):
    boundary = 0
    for stage in path:
        assert stage.layers.first == boundary
        held = stage.target.layers
        assert held.first <= stage.layers.first < stage.layers.end <= held.end
        boundary = stage.layers.end
    assert boundary == sample_engine.ENGINE.layers
    ids = [stage.target.id for stage in path]
    assert len(ids) == len(set(ids))


def test_targets_with_overlapping_ranges_form_a_path():
    members = [_target('x', 0, 50), _target('y', 40, 80)]
    _assert_runs_every_layer_once(_cheapest(members))


def test_no_path_with_a_gap():
    assert _cheapest([_target('x', 0, 30), _target('y', 31, 80)]) is None


def test_excluded_target_is_not_used():
    members = [
        _target('x', 0, 40),
        _target('y', 40, 80),
        _target('z', 40, 80),
    ]
    path = _cheapest(
        members,
        lambda segment: None if segment.target.id == 'y' else 1.0,
    )
    assert [stage.target.id for stage in path] == ['x', 'z']


def test_target_is_not_used_twice_in_a_path():
    """The cheapest path would use x at both ends, with y between them."""
    members = [
        _target('x', 0, 80, 'a100'),
        _target('y', 20, 60, 'v100'),
        _target('z', 60, 80, 'l4'),
    ]

    def price(segment):
        is_whole_range = segment.layers.size == segment.target.layers.size
        if segment.target.id == 'x':
            return None if is_whole_range else 0.1
        return 1.0 if segment.target.id == 'z' else 0.1

    path = _cheapest(members, price)
    _assert_runs_every_layer_once(path)
    assert [stage.target.id for stage in path] == ['x', 'z']


def test_cost_of_crossing_zones_is_counted():
    members = [
        _target('x', 0, 40, zone='a'),
        _target('far', 40, 80, zone='b'),
        _target('near', 40, 80, 'v100', zone='a'),
    ]
    path = _cheapest(members, crossing=lambda zone, other: 1000.0)
    assert [stage.target.id for stage in path] == ['x', 'near']
    only_far = _cheapest(members[:2], crossing=lambda zone, other: None)
    assert only_far is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 79), strategies.integers(1, 80)
        ),
        max_size=12,
    ),
    strategies.randoms(use_true_random=False),
)
def test_any_path_runs_every_layer_once(ranges, rng):
    members = [
        _target(f't{index}', min(pair), max(max(pair), min(pair) + 1))
        for index, pair in enumerate(ranges)
    ]
    price_by_segment = {}

    def price(segment):
        return price_by_segment.setdefault(segment, rng.random())

    path = _cheapest(members, price)
    if path is not None:
        _assert_runs_every_layer_once(path)
