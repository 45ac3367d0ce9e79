from cactusmux_relay import desired_state
from cactusmux_relay import route_table


def _route(name, host, prefix):
    return desired_state.Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=desired_state.RequestKind.SAFE,
        services=(desired_state.WeightedService('s', 1.0),),
        timeout_s=1.0,
        objective_s=0.3,
        gap_s=0.25,
        urgency=1,
        max_attempts=2,
        is_open=False,
        can_resume=False,
    )


def test_longest_prefix_wins():
    table = route_table.RouteTable(
        [_route('short', 'h', '/a/'), _route('long', 'h', '/a/b/')]
    )
    assert table.find('h', '/a/b/c').name == 'long'
    assert table.find('h', '/a/bc').name == 'short'


def test_host_is_matched_without_case_and_port():
    table = route_table.RouteTable([_route('r', 'Some.Example', '/a/')])
    assert table.find('some.EXAMPLE:80', '/a/').name == 'r'
    assert table.find('other.example', '/a/') is None


def test_query_is_not_part_of_the_path():
    table = route_table.RouteTable([_route('r', 'h', '/a/b/')])
    assert table.find('h', '/a/?x=/a/b/') is None
    assert table.find('h', '/a/b/?x') is not None


def test_safe_is_idempotent_and_unsafe_is_not():
    safe = _route('r', 'h', '/')
    assert safe.is_idempotent
    assert not safe._replace(
        kind=desired_state.RequestKind.UNSAFE
    ).is_idempotent
    stream = safe._replace(kind=desired_state.RequestKind.STREAM)
    assert not stream.is_idempotent
    assert stream._replace(can_resume=True).is_idempotent
