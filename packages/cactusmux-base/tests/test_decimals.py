from cactusmux_base import decimals
import hypothesis
from hypothesis import strategies
import pytest


@hypothesis.given(strategies.integers(0, 10**40))
def test_decimal_digits_are_read(number):
    assert decimals.read(str(number)) == number


# Guards against a ValueError that escapes from int().
@pytest.mark.parametrize(
    'text', ['', '-1', '1.5', '1_000', ' 1', '²', '٣', '9' * 5000, 'x']
)
def test_anything_else_is_no_number_and_raises_nothing(text):
    assert decimals.read(text) is None
