from cactusmux_relay import event_ids
import hypothesis
from hypothesis import strategies
import pytest

NUMBERS = strategies.integers(0, 10**30)


def _id(text):
    return event_ids.EventId(str(text))


@hypothesis.given(NUMBERS, NUMBERS, strategies.integers(0, 3))
def test_decimal_ids_compare_as_numbers(first, second, zeros):
    padded = _id('0' * zeros + str(first))
    assert padded.is_after(_id(second)) == (first > second)
    assert padded.directly_follows(_id(second)) == (first == second + 1)
    assert _id(second + 1).directly_follows(_id(second))


def test_thousands_of_digits_are_compared_exactly():
    earlier = _id('9' * 5000)
    later = _id('1' + '0' * 5000)
    assert later.is_after(earlier)
    assert not earlier.is_after(later)
    assert later.directly_follows(earlier)


def test_other_ids_are_only_compared_for_equality():
    assert _id('b').is_after(_id('c'))
    assert not _id('b').is_after(_id('b'))
    assert not _id('b').directly_follows(_id('a'))


@hypothesis.given(strategies.binary(max_size=20))
def test_any_bytes_are_read_unchanged_or_not_at_all(raw):
    found = event_ids.read(raw)
    if found is not None:
        assert found.text.encode('latin-1') == raw.strip(b' \t')


@pytest.mark.parametrize('raw', [b'', b' ', b'a\nb', b'a\x00', b'\x7f'])
def test_id_that_fits_into_no_header_is_none(raw):
    assert event_ids.read(raw) is None


def test_long_id_is_cut_in_log_lines():
    assert len(_id('9' * 5000).logged) == event_ids.MAX_LOGGED_CHARACTERS
