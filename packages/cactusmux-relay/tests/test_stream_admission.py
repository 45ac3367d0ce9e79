"""Single decisions: limits, floors, expected waits and retry times."""

import math

from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
import pytest

ROOM = 100_000.0
ACTIVITY = stream_admission.Activity(hold_s=3.0)
BIG, SMALL = 1, 2


def _pressure(
    held=(0.0, 0.0, 0.0), asked=(0.0, 0.0, 0.0), own=0.0, heard=3, **more
):
    return service_load.Pressure(
        room_tokens=ROOM,
        held=tuple(held),
        asked=tuple(asked),
        rejected=(0.0, 0.0, 0.0),
        own_tokens=own,
        instances=4,
        heard=heard,
        age_s=0.4 if heard else math.inf,
        **more,
    )


def _candidate(rank=0, tokens=1000.0, organisation=SMALL):
    return stream_admission.Candidate(
        rank, organisation, tokens, 0.0, 0.5, False
    )


def _blocker(pressure, ask, course=ACTIVITY):
    shares = stream_admission.divide(pressure, course.hold_s)
    return stream_admission.find_blocker(pressure, shares, ask, course)


def _wait_s(pressure, ask, ahead=0.0):
    shares = stream_admission.divide(pressure, ACTIVITY.hold_s)
    return stream_admission.expected_wait_s(
        pressure, shares, ask, ACTIVITY, ahead
    )


def test_most_urgent_may_use_all_room():
    pressure = _pressure(held=(0.0, 98_500.0, 0.0), asked=(9000.0, 0.0, 0.0))
    assert _blocker(pressure, _candidate(0)) is None
    assert (
        _blocker(pressure, _candidate(0, 2000.0))
        is stream_admission.Blocker.ROOM
    )


def test_limit_falls_with_the_rate_of_more_urgent_arrivals():
    limits = [
        stream_admission.divide(
            _pressure(asked=(rate, 0.0, 0.0)), ACTIVITY.hold_s
        ).limit_by_rank
        for rate in (0.0, 5000.0, 15_000.0)
    ]
    assert [each[0] for each in limits] == [ROOM] * 3
    assert limits[0][1] > limits[1][1] > limits[2][1]


def test_room_is_kept_for_urgent_callers_until_they_hold_it():
    """Counting held room twice would leave it empty for good."""
    lacking = _pressure(held=(0.0, 0.0, 0.0), asked=(10_000.0, 0.0, 0.0))
    holding = _pressure(held=(30_000.0, 0.0, 0.0), asked=(10_000.0, 0.0, 0.0))
    limits = [
        stream_admission.divide(each, ACTIVITY.hold_s).limit_by_rank[2]
        for each in (lacking, holding)
    ]
    arriving = 10_000.0 * stream_admission.REACTION_S
    assert limits == [ROOM - 30_000.0, ROOM - arriving]


def test_less_urgent_request_stops_below_the_kept_room():
    asked = (10_000.0, 3000.0, 3000.0)
    pressure = _pressure(held=(30_000.0, 50_000.0, 10_000.0), asked=asked)
    assert _blocker(pressure, _candidate(2)) is stream_admission.Blocker.KEPT
    assert _blocker(pressure, _candidate(0)) is None


def test_nobody_starves_below_the_assured_share():
    asked = (60_000.0, 3000.0, 3000.0)
    pressure = _pressure(held=(97_000.0, 0.0, 0.0), asked=asked)
    assert _blocker(pressure, _candidate(2)) is None
    full = _pressure(held=(99_500.0, 0.0, 0.0), asked=asked)
    assert _blocker(full, _candidate(2)) is stream_admission.Blocker.ROOM


def test_streams_that_resume_go_before_new_ones_of_their_urgency():
    course = stream_admission.Activity(3.0, resuming=1)
    pressure = _pressure()
    assert _blocker(pressure, _candidate(0), course) is None
    assert (
        _blocker(pressure, _candidate(1), course)
        is stream_admission.Blocker.RESUMING
    )
    assert (
        _blocker(pressure, _candidate(2), course)
        is stream_admission.Blocker.RESUMING
    )


def test_organisation_over_its_part_leaves_room_to_others():
    pressure = _pressure(
        held=(92_000.0, 0.0, 0.0),
        asked=(50_000.0, 0.0, 0.0),
        held_by_organisation={BIG: 90_000.0, SMALL: 2000.0},
        asked_by_organisation={BIG: 45_000.0, SMALL: 5000.0},
    )
    bar = _blocker(pressure, _candidate(0, organisation=BIG))
    assert bar is stream_admission.Blocker.OVER_PART
    assert _blocker(pressure, _candidate(0, organisation=SMALL)) is None


def test_organisations_are_not_divided_while_room_suffices():
    pressure = _pressure(
        held=(92_000.0, 0.0, 0.0),
        asked=(30_000.0, 0.0, 0.0),
        held_by_organisation={BIG: 92_000.0},
        asked_by_organisation={BIG: 30_000.0, SMALL: 1000.0},
    )
    assert _blocker(pressure, _candidate(0, organisation=BIG)) is None


def test_instance_keeps_to_its_part_without_news():
    own = ROOM / 4 - 500.0
    pressure = _pressure(held=(own * 4 - 1500.0, 0.0, 0.0), own=own, heard=0)
    assert (
        _blocker(pressure, _candidate(0)) is stream_admission.Blocker.OWN_PART
    )


def test_unknown_room_is_left_to_the_search_for_a_path():
    pressure = _pressure(held=(500.0, 0.0, 0.0))._replace(room_tokens=0.0)
    assert _blocker(pressure, _candidate(2)) is None


def test_expected_wait_grows_with_what_is_missing_and_with_rank():
    asked = (10_000.0, 10_000.0, 10_000.0)
    pressure = _pressure(held=(40_000.0, 40_000.0, 20_000.0), asked=asked)
    waits = [_wait_s(pressure, _candidate(rank)) for rank in range(3)]
    assert 0.0 < waits[0] < waits[1] < waits[2]
    assert waits[0] == pytest.approx(1000.0 / (ROOM / 3.0))
    assert _wait_s(pressure, _candidate(0), 5000.0) > waits[0]
    assert _wait_s(_pressure(), _candidate(2)) == 0.0


def test_less_urgent_request_leaves_part_of_the_longest_pause():
    pressure = _pressure(asked=(15_000.0, 5000.0, 0.0))
    shares = stream_admission.divide(pressure, ACTIVITY.hold_s)
    pauses = [
        stream_admission.pause_share(pressure, shares, rank)
        for rank in range(3)
    ]
    assert pauses[0] == 1.0
    assert 1.0 > pauses[1] > pauses[2] >= 1.0 - stream_admission.PAUSE_RESERVE


def test_retry_times_are_spread_bounded_and_shorter_for_urgent_requests():
    for expected_s in (0.0, 1.0, 2.0, 60.0):
        times = [
            stream_admission.retry_after_s(expected_s, draw / 10.0, 1)
            for draw in range(11)
        ]
        assert times == sorted(set(times))
        assert min(times) >= min(expected_s, 3.0)
        assert max(times) <= stream_admission.LONGEST_RETRY_S
    least = [stream_admission.retry_after_s(0.0, 0.5, r) for r in range(3)]
    assert least == sorted(set(least))
