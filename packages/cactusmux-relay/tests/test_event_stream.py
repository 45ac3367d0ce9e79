from cactusmux_relay import event_ids
from cactusmux_relay import event_stream
import hypothesis
from hypothesis import strategies
import pytest


def _id(number):
    return event_ids.EventId(str(number))


def _event(number):
    return b'id: %d\ndata: x\n\n' % number


@hypothesis.given(
    strategies.integers(1, 8), strategies.lists(strategies.integers(0, 200))
)
def test_events_do_not_depend_on_how_bytes_arrive(count, cuts):
    whole = b''.join(_event(number) for number in range(count))
    edges = [0, *sorted(min(cut, len(whole)) for cut in cuts), len(whole)]
    splitter = event_stream.EventSplitter()
    found = []
    for start, stop in zip(edges, edges[1:], strict=False):
        found.extend(splitter.feed(whole[start:stop]))
    assert [event.id for event in found] == [
        _id(each) for each in range(count)
    ]
    assert b''.join(event.data for event in found) == whole
    assert splitter.rest == b''


def test_incomplete_event_is_kept():
    splitter = event_stream.EventSplitter()
    assert splitter.feed(_event(1) + b'id: 2\nda') == [
        event_stream.Event(_id(1), _event(1))
    ]
    assert splitter.rest == b'id: 2\nda'


def test_events_may_end_with_carriage_returns():
    splitter = event_stream.EventSplitter()
    raw = b'id: 7\r\ndata: x\r\n\r\n'
    assert splitter.feed(raw) == [event_stream.Event(_id(7), raw)]


@pytest.mark.parametrize(
    'raw', [b'x', b'-7', b'007', b'202612050000000012', b'9' * 5000, b'\xe9']
)
def test_id_is_kept_as_its_sender_wrote_it(raw):
    splitter = event_stream.EventSplitter()
    found = splitter.feed(b'id: %b\ndata: x\n\n' % raw)
    assert found[0].id.text.encode('latin-1') == raw


@pytest.mark.parametrize('line', [b'id:', b'id: a\x00b', b'data: x'])
def test_event_without_a_usable_id_has_none(line):
    splitter = event_stream.EventSplitter()
    assert splitter.feed(line + b'\n\n')[0].id is None


def test_buffer_without_event_boundaries_is_bounded():
    splitter = event_stream.EventSplitter()
    with pytest.raises(event_stream.EventTooLong):
        for _ in range(1000):
            splitter.feed(b'x' * 65536)
    assert len(splitter.rest) <= event_stream.MAX_EVENT_BYTES + 65536


def test_boundary_split_over_several_reads_is_found():
    splitter = event_stream.EventSplitter()
    assert splitter.feed(b'id: 7\r\ndata: ' + b'x' * 1000 + b'\r\n') == []
    assert splitter.feed(b'\r') == []
    found = splitter.feed(b'\nid: 8\n')
    assert [each.id for each in found] == [_id(7)]
    assert splitter.rest == b'id: 8\n'
