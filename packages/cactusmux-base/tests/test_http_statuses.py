from cactusmux_base import http_statuses
import pytest


@pytest.mark.parametrize('status', [200, 204, 304, 404, 503, 599])
def test_status_of_a_final_class(status):
    assert http_statuses.is_final(status)


@pytest.mark.parametrize('status', [-20, 0, 99, 100, 199, 600, 999, 2000])
def test_informational_status_or_one_without_a_class(status):
    assert not http_statuses.is_final(status)
