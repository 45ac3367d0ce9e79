from cactusmux_relay import event_stream
import hypothesis
from hypothesis import strategies
import pytest


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
    assert [event.id for event in found] == list(range(count))
    assert b''.join(event.data for event in found) == whole
    assert splitter.rest == b''


def test_incomplete_event_is_kept():
    splitter = event_stream.EventSplitter()
    assert splitter.feed(_event(1) + b'id: 2\nda') == [
        event_stream.Event(1, _event(1))
    ]
    assert splitter.rest == b'id: 2\nda'


def test_events_may_end_with_carriage_returns():
    splitter = event_stream.EventSplitter()
    raw = b'id: 7\r\ndata: x\r\n\r\n'
    assert splitter.feed(raw) == [event_stream.Event(7, raw)]


def test_id_that_is_not_a_number_is_none():
    splitter = event_stream.EventSplitter()
    assert splitter.feed(b'id: x\n\n')[0].id is None
    assert splitter.feed(b'data: x\n\n')[0].id is None


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
    assert [each.id for each in found] == [7]
    assert splitter.rest == b'id: 8\n'
