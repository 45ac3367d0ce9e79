"""Tests of the key=value log format."""

from cactusmux_base import events
import pytest

CASES = [
    ({'peer': '127.0.0.1:80'}, 'event=seen peer=127.0.0.1:80'),
    ({'name': 'a b'}, 'event=seen name="a b"'),
    ({'name': 'x\nevent=forged'}, 'event=seen name="x\\nevent=forged"'),
    ({'name': ''}, 'event=seen name=""'),
    ({'name': 'é'}, 'event=seen name="\\u00e9"'),
]


@pytest.mark.parametrize('fields, line', CASES)
def test_value_cannot_break_line_or_add_key(
    fields: dict[str, str], line: str
) -> None:
    assert events.format_event('seen', **fields) == line


# Guards against lines as long as the longest header that a caller may send.
def test_long_id_is_cut() -> None:
    line = events.format_event('seen', id='x' * 9000, name='y' * 9000)
    assert line == f'event=seen id={"x" * 128} name={"y" * 9000}'
