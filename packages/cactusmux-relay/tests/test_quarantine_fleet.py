"""A fleet whose targets end on one part of a prompt: who learns it, when."""

from cactusmux_fakes import fatal_parts_play
import pytest

SUBJECTS = 60
TARGETS = 40
SOUND_PER_S = 1.0
FATAL_PER_S = 2.0
# From this time after the fifth end, few requests with the part may be sent.
WINDOW_S = 3.0
ENDS_BEFORE_WINDOW = 5
MAX_SENDS_AFTER_WINDOW = 3
MAX_REFUSED_SHARE = 0.02


def _start(size, seed, **options):
    """Returns a fleet with sound requests on many subjects."""
    play = fatal_parts_play.FatalPartsPlay(size, TARGETS, seed, **options)
    for number in range(SUBJECTS):
        play.every(SOUND_PER_S, f'subject-{number}')
    play.play(10.0)
    return play


def _parts(member):
    """Returns the parts that an instance refuses."""
    found = member.quarantine.evidence.quarantined
    return {each.part for each in found}


def _sends_after_window(play):
    """Returns the requests sent after it had to be known."""
    if len(play.ended_at) < ENDS_BEFORE_WINDOW:
        return []
    until = play.ended_at[ENDS_BEFORE_WINDOW - 1] + WINDOW_S
    return [each for each in play.fatal_sends if each.at > until]


@pytest.mark.parametrize('size', [1, 8, 97])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_fatal_part_is_known_to_all_after_few_ends(size, seed):
    play = _start(size, seed)
    play.every(FATAL_PER_S, 'subject-0', fatal_parts_play.FATAL_PART)
    outcome = play.play(30.0)
    assert len(play.ended_at) <= ENDS_BEFORE_WINDOW
    assert len(_sends_after_window(play)) <= MAX_SENDS_AFTER_WINDOW
    assert outcome.refused <= MAX_REFUSED_SHARE * outcome.asked


# Guards against a fatal part that is never found, as its targets end before
# the head of their answer.
@pytest.mark.parametrize('size', [1, 8, 97])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_fatal_part_is_found_though_targets_end_before_they_answer(size, seed):
    play = _start(size, seed, has_heads=False)
    play.every(FATAL_PER_S, 'subject-0', fatal_parts_play.FATAL_PART)
    outcome = play.play(30.0)
    assert len(_sends_after_window(play)) <= MAX_SENDS_AFTER_WINDOW
    assert outcome.refused <= MAX_REFUSED_SHARE * outcome.asked
    for member in play.member_by_name.values():
        assert _parts(member) == {fatal_parts_play.FATAL_PART}


# Guards against sound parts that are blamed as requests wait with them.
@pytest.mark.parametrize('size', [8, 97])
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('asked_for_s', [0.3, 5.0])
def test_four_targets_that_end_under_a_common_part_quarantine_nothing(
    size, seed, asked_for_s
):
    """The part is common to all requests, at first not served anywhere."""
    play = fatal_parts_play.FatalPartsPlay(size, TARGETS, seed)
    play.every(200.0, 'common')
    play.play(asked_for_s)
    play.end_targets(4 / TARGETS)
    outcome = play.play(10.0)
    assert outcome.asked > 1000
    assert outcome.refused == 0
    for member in play.member_by_name.values():
        assert not _parts(member)


# Guards against the same for targets that end one after the other.
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_targets_that_end_in_turn_quarantine_no_busy_part(seed):
    play = fatal_parts_play.FatalPartsPlay(8, TARGETS, seed)
    play.every(100.0, 'busy')
    play.play(5.0)
    for _ in range(10):
        play.end_targets(0.05)
        outcome = play.play(0.4)
        assert outcome.refused == 0
    for member in play.member_by_name.values():
        assert not _parts(member)


def test_burst_of_fatal_requests_ends_after_the_window():
    play = _start(97, 4)
    play.every(20.0, 'subject-0', fatal_parts_play.FATAL_PART)
    play.play(30.0)
    assert len(_sends_after_window(play)) <= MAX_SENDS_AFTER_WINDOW


def test_fatal_part_is_known_to_all_though_most_datagrams_are_lost():
    play = _start(97, 5, loss=0.5)
    play.every(FATAL_PER_S, 'subject-0', fatal_parts_play.FATAL_PART)
    play.play(30.0)
    assert len(_sends_after_window(play)) <= MAX_SENDS_AFTER_WINDOW


@pytest.mark.parametrize('size', [8, 97])
def test_instance_that_starts_later_sends_no_fatal_request(size):
    play = _start(size, 6)
    play.every(FATAL_PER_S, 'subject-0', fatal_parts_play.FATAL_PART)
    play.play(20.0)
    for number in range(size):
        play.add_instance(f'late-{number}')
    play.play(1.0)
    sent = len(play.fatal_sends)
    play.play(10.0)
    assert len(play.fatal_sends) == sent


@pytest.mark.parametrize('seed', [7, 8, 9])
def test_failures_of_half_of_all_targets_quarantine_nothing(seed):
    play = _start(8, seed)
    for _ in range(10):
        for _ in range(4):
            play.end_targets(0.2)
            play.play(0.4)
        outcome = play.play(6.0)
        assert outcome.refused == 0
    for member in play.member_by_name.values():
        assert not member.quarantine.evidence.quarantined


def test_fatal_part_is_found_while_many_targets_fail_for_other_reasons():
    play = _start(8, 10)
    play.every(FATAL_PER_S, 'subject-0', fatal_parts_play.FATAL_PART)
    for _ in range(6):
        play.end_targets(0.2)
        outcome = play.play(2.0)
        assert outcome.refused <= MAX_REFUSED_SHARE * outcome.asked
    assert len(_sends_after_window(play)) <= MAX_SENDS_AFTER_WINDOW


def test_messages_stay_small_with_many_parts():
    play = _start(8, 11)
    for number in range(200):
        play.every(0.5, f'rare-{number}')
    for _ in range(20):
        play.end_targets(0.3)
        play.play(0.5)
        for member in play.member_by_name.values():
            assert len(member.topic.own()) < 6000


def test_time_at_which_a_part_was_served_does_not_move_by_forwarding():
    play = fatal_parts_play.FatalPartsPlay(8, TARGETS, 6)
    play.every(20.0, 'busy')
    play.play(9.0)
    served_at = max(play.served_at('busy'))
    play.stop_targets()
    play.play(60.0)
    assert max(play.served_at('busy')) <= served_at + 0.05


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_targets_that_end_together_quarantine_no_busy_part(seed):
    play = fatal_parts_play.FatalPartsPlay(8, TARGETS, seed)
    play.every(100.0, 'busy')
    play.play(9.0)
    play.end_targets(1.0)
    play.play(fatal_parts_play.DOWN_S + 0.1)
    outcome = play.play(5.0)
    assert outcome.asked > 100
    assert outcome.refused == 0
