"""Which parts and requests are remembered as served."""

from cactusmux_relay import prompt_parts
from cactusmux_relay import request_identity
from cactusmux_relay import served_keys


def _part(number):
    return prompt_parts.PartKey('drafts', f'part-{number}')


def _request(number):
    name = f'{request_identity.PREFIX}{number}'
    return prompt_parts.PartKey('drafts', name)


def test_latest_time_is_kept():
    served = served_keys.ServedKeys()
    assert served.at(_part(1)) == served_keys.NEVER
    served.record(_part(1), 5.0)
    served.record(_part(1), 3.0)
    assert served.at(_part(1)) == 5.0


def test_many_requests_displace_no_parts_and_are_bounded():
    served = served_keys.ServedKeys()
    served.record(_part(1), 1.0)
    served.record(_request(0), 1.0)
    for number in range(1, served_keys.MAX_SERVED_REQUESTS + 1):
        served.record(_request(number), 2.0)
    assert served.at(_part(1)) == 1.0
    assert served.at(_request(0)) == served_keys.NEVER
    assert served.at(_request(1)) == 2.0
