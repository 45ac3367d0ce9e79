"""Tests for the ranks of services and the urgency sent to targets."""

from cactusmux_fakes import relay_rig
from cactusmux_relay import context
from cactusmux_relay import desired_state
from cactusmux_relay import urgency_ranks

STREAM = desired_state.RequestKind.STREAM


def _route(service, urgency):
    route = relay_rig.route(f'/{service}-{urgency}/', STREAM, service)
    return route._replace(urgency=urgency)


def _exchange(urgencies, urgency, engine='engine'):
    service = desired_state.Service('drafts', '/health', 10, engine)
    route = _route('drafts', urgency)
    return context.Exchange(
        None, None, None, route, service, None, 0.0, urgencies
    )


def test_only_services_whose_routes_differ_have_ranks():
    routes = [
        _route('drafts', 2),
        _route('drafts', 0),
        _route('drafts', 2),
        _route('equal', 1),
        _route('equal', 1),
    ]
    assert urgency_ranks.urgencies_by_service(routes) == {'drafts': (0, 2)}


def test_urgencies_between_and_beyond_those_of_the_routes_have_a_rank():
    ranks = [urgency_ranks.rank((0, 3, 5), each) for each in (0, 1, 3, 5, 9)]
    assert ranks == [0, 1, 1, 2, 2]


def test_targets_are_sent_an_urgency_only_where_it_differs():
    assert _exchange((0, 2), 2).sent_urgency == 2
    assert _exchange((0, 12), 12).sent_urgency == 9
    assert _exchange((), 2).sent_urgency is None
    assert _exchange((0, 2), 2, engine=None).sent_urgency is None


def test_urgencies_in_force_follow_the_configuration():
    """Guards against admission by the ranks of an older configuration."""
    rig_state = relay_rig.make_desired_state()
    in_force = relay_rig.request_handling.ConfigurationInForce()
    in_force.replace(rig_state)
    assert in_force.urgencies_of('drafts') == ()
    routes = (_route('drafts', 2), _route('drafts', 0))
    in_force.replace(rig_state._replace(version=2, routes=routes))
    assert in_force.urgencies_of('drafts') == (0, 2)
