"""What a caller sends is read within bounds, and in turns."""

import errno

from cactusmux_base import turns
from cactusmux_entry import caller_input
import pytest

MAX_HEAD_BYTES = 8_192


class EndlessConnection:
    """Always has more bytes, as from a caller that sends at full speed."""

    def __init__(self) -> None:
        self.received = 0
        self.counts: list[int] = []
        self.is_dropped = False
        self.fails_when_dropped = False

    def drops(self) -> bool:
        return self.is_dropped

    def recv_into(self, buffer: bytearray) -> int:
        if self.fails_when_dropped:
            self.is_dropped = True
            raise OSError(errno.EBADF, 'closed in another greenlet')
        self.received += len(buffer)
        return len(buffer)


@pytest.fixture
def connection() -> EndlessConnection:
    return EndlessConnection()


@pytest.fixture
def reader(connection: EndlessConnection) -> caller_input.CallerInput:
    return caller_input.CallerInput(
        connection, MAX_HEAD_BYTES, connection.counts.append, connection.drops
    )


def test_head_without_an_end_is_refused(reader, connection) -> None:
    with pytest.raises(caller_input.HeadTooLarge):
        while True:
            reader.read(1024)
    assert connection.received <= MAX_HEAD_BYTES + 1024
    assert reader.read(1024) == b''


def test_next_head_has_the_whole_limit_again(reader) -> None:
    for _ in range(3):
        reader.begin_head()
        assert len(reader.read(MAX_HEAD_BYTES)) == MAX_HEAD_BYTES


def test_body_is_not_counted_as_head(reader) -> None:
    reader.end_head()
    for _ in range(3):
        assert len(reader.read(MAX_HEAD_BYTES)) == MAX_HEAD_BYTES


def test_flood_leaves_turns_to_other_tasks(reader, monkeypatch) -> None:
    pauses = []
    monkeypatch.setattr(turns, 'pause', lambda: pauses.append(1))
    reader.end_head()
    for _ in range(8):
        reader.read(turns.MAX_BYTES // 2)
    assert len(pauses) == 4


def test_stopped_input_receives_nothing(reader, connection) -> None:
    reader.stop()
    assert reader.read(1024) == b''
    assert connection.received == 0


def test_dropped_connection_ends_its_input(reader, connection) -> None:
    reader.end_head()
    reader.read(1024)
    connection.is_dropped = True
    with pytest.raises(caller_input.InputDropped):
        reader.read(1024)
    assert reader.read(1024) == b''
    assert sum(connection.counts) == connection.received


def test_pending_read_of_a_dropped_connection_is_told_apart(
    reader, connection
) -> None:
    connection.fails_when_dropped = True
    with pytest.raises(caller_input.InputDropped):
        reader.read(1024)
