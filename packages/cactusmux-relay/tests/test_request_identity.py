"""Which requests of a service count as the same."""

from cactusmux_fakes import relay_rig
from cactusmux_relay import context
from cactusmux_relay import desired_state
from cactusmux_relay import dialect
from cactusmux_relay import http_server
from cactusmux_relay import request_identity
import pytest


def _exchange(
    request_id='r1',
    method='POST',
    path='/safe/a',
    organisation='almaty',
    prompt='',
    body=b'x',
    service=relay_rig.PLAIN_SERVICE,
):
    state = relay_rig.make_desired_state()
    return context.Exchange(
        http_server.Request(method, path, (), body, 0.0),
        dialect.RequestFacts(
            request_id, '', None, None, prompt, 0.0, 0.0, None, None, []
        ),
        None,
        state.routes[0],
        state.service_by_name[service],
        desired_state.Organisation(organisation, None),
        1.0,
    )


def test_request_that_comes_again_has_the_same_identity():
    first = request_identity.identify(_exchange('r1'))
    assert first == request_identity.identify(_exchange('r2'))
    assert first.startswith(request_identity.PREFIX)


@pytest.mark.parametrize(
    'changed',
    [
        {'method': 'GET'},
        {'path': '/safe/a?b'},
        {'organisation': 'astana'},
        {'prompt': '5c1e07a2:40'},
        {'body': b'y'},
        {'path': '/safe/', 'body': b'ax'},
        {'service': 'drafts'},
    ],
)
def test_request_that_differs_has_another_identity(changed):
    assert request_identity.identify(
        _exchange(**changed)
    ) != request_identity.identify(_exchange())
