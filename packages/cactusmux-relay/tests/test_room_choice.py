from cactusmux_relay import room_choice
import hypothesis
from hypothesis import strategies
import pytest

MB = 1 << 20
ARRIVING = room_choice.Phase.ARRIVING
IN_SERVICE = room_choice.Phase.IN_SERVICE
ANSWERING = room_choice.Phase.ANSWERING


def _held(key, held, recent=None, phase=ARRIVING, began_at=0.0):
    recent = held if recent is None else recent
    return room_choice.Held(key, phase, held, recent, began_at)


def _ended(asker, others, excess=1):
    return room_choice.choose(asker, others, excess).ended_keys


def test_body_without_progress_is_ended_before_one_that_arrives():
    others = [_held(1, 4 * MB, began_at=9.0), _held(2, MB, recent=0)]
    assert _ended(_held(3, 100), others) == (2,)


def test_slowest_for_its_size_is_ended_first():
    others = [
        _held(1, 100_000, recent=5_000),
        _held(2, 4 * MB, recent=20_000),
    ]
    assert _ended(_held(3, 100), others) == (2,)


def test_heaviest_of_the_stalled_is_ended_first():
    others = [_held(1, 2_000, recent=0), _held(2, 4 * MB, recent=0)]
    assert _ended(_held(3, 100), others) == (2,)


def test_newest_of_those_that_all_arrive_is_refused():
    others = [_held(1, 2 * MB, began_at=1.0), _held(2, MB, began_at=2.0)]
    choice = room_choice.choose(_held(3, MB, began_at=3.0), others, 1)
    assert choice == room_choice.RoomChoice(is_granted=False)
    assert _ended(_held(3, MB, began_at=0.0), others) == (2,)


def test_heavy_request_is_ended_before_an_ordinary_one():
    others = [_held(1, 500, began_at=9.0), _held(2, MB, began_at=1.0)]
    assert _ended(_held(3, 100, began_at=10.0), others) == (2,)


def test_request_in_service_is_never_ended():
    others = [_held(1, 4 * MB, recent=0, phase=IN_SERVICE)]
    choice = room_choice.choose(_held(2, 100), others, 1)
    assert choice == room_choice.RoomChoice(is_granted=False)


# Guards against callers that fill the memory behind requests that run.
def test_request_whose_caller_sends_far_ahead_is_ended():
    ahead = _held(1, 65536, phase=IN_SERVICE)._replace(ahead_bytes=65536)
    other = _held(2, 65536, phase=IN_SERVICE)._replace(ahead_bytes=2_000)
    assert _ended(_held(3, 100), [other, ahead]) == (1,)
    assert not room_choice.choose(_held(3, 100), [other], 1).is_granted


def test_unread_answer_is_ended_after_bodies_that_lag():
    unread = _held(1, 8 * MB, recent=0, phase=ANSWERING)
    lagging = _held(2, MB, recent=0)
    assert _ended(_held(3, 100), [unread, lagging], 2 * MB) == (2, 1)


def test_answer_that_is_read_is_never_ended():
    others = [_held(1, 8 * MB, recent=1, phase=ANSWERING)]
    assert not room_choice.choose(_held(2, 100), others, 1).is_granted


def test_nobody_is_ended_if_that_would_not_suffice():
    others = [_held(1, MB, recent=0)]
    asker = _held(2, 4 * MB, phase=IN_SERVICE)
    assert room_choice.choose(asker, others, 2 * MB).ended_keys == ()


HELD = strategies.builds(
    room_choice.Held,
    key=strategies.integers(1, 1000),
    phase=strategies.sampled_from(room_choice.Phase),
    held_bytes=strategies.integers(1, 4 * MB),
    recent_bytes=strategies.integers(0, 4 * MB),
    began_at=strategies.floats(0.0, 100.0),
    ahead_bytes=strategies.integers(0, 2 * room_choice.ORDINARY_AHEAD_BYTES),
)


@hypothesis.given(
    asker=HELD,
    others=strategies.lists(HELD, unique_by=lambda held: held.key),
    excess=strategies.integers(1, 8 * MB),
)
def test_who_is_ended_frees_enough_and_may_be_ended(asker, others, excess):
    asker = asker._replace(key=0)
    choice = room_choice.choose(asker, others, excess)
    ended = [each for each in others if each.key in choice.ended_keys]
    assert choice.is_granted == bool(ended)
    ordinary_bytes = room_choice.ORDINARY_AHEAD_BYTES
    assert all(
        each.phase is not IN_SERVICE or each.ahead_bytes > ordinary_bytes
        for each in ended
    )
    if ended:
        assert sum(each.held_bytes for each in ended) >= excess


@pytest.mark.parametrize('excess', [1, MB])
def test_no_more_are_ended_than_needed(excess):
    others = [_held(key, MB, recent=0) for key in range(1, 6)]
    assert len(_ended(_held(9, 100), others, excess)) == 1
