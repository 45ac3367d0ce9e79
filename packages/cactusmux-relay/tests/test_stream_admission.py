"""Tests for admission decisions, expected waits and retry delays."""

import math

from cactusmux_relay import service_load
from cactusmux_relay import stream_admission
import pytest

ROOM = 100_000.0
ACTIVITY = stream_admission.Activity(hold_s=3.0)
LARGE, SMALL = 1, 2


def _load(
    held=(0.0, 0.0, 0.0), asked=(0.0, 0.0, 0.0), own=0.0, heard=3, **more
):
    return service_load.ServiceLoad(
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


def _blocker(load, candidate, activity=ACTIVITY):
    shares = stream_admission.divide_capacity(load, activity.hold_s)
    return stream_admission.find_blocker(load, shares, candidate, activity)


def _wait_s(load, candidate, ahead=0.0):
    shares = stream_admission.divide_capacity(load, ACTIVITY.hold_s)
    return stream_admission.expected_wait_s(
        load, shares, candidate, ACTIVITY, ahead
    )


def test_most_urgent_may_use_the_whole_capacity():
    load = _load(held=(0.0, 98_500.0, 0.0), asked=(9000.0, 0.0, 0.0))
    assert _blocker(load, _candidate(0)) is None
    assert (
        _blocker(load, _candidate(0, 2000.0)) is stream_admission.Blocker.ROOM
    )


def test_limit_falls_with_the_rate_of_more_urgent_arrivals():
    limits = [
        stream_admission.divide_capacity(
            _load(asked=(rate, 0.0, 0.0)), ACTIVITY.hold_s
        ).limit_by_rank
        for rate in (0.0, 5000.0, 15_000.0)
    ]
    assert [each[0] for each in limits] == [ROOM] * 3
    assert limits[0][1] > limits[1][1] > limits[2][1]


def test_capacity_is_reserved_for_urgent_callers_until_they_hold_it():
    """Reserving held capacity again would leave it unused permanently."""
    without_held = _load(held=(0.0, 0.0, 0.0), asked=(10_000.0, 0.0, 0.0))
    with_held = _load(held=(30_000.0, 0.0, 0.0), asked=(10_000.0, 0.0, 0.0))
    limits = [
        stream_admission.divide_capacity(each, ACTIVITY.hold_s).limit_by_rank[
            2
        ]
        for each in (without_held, with_held)
    ]
    arriving = 10_000.0 * stream_admission.GOSSIP_DELAY_S
    assert limits == [ROOM - 30_000.0, ROOM - arriving]


def test_less_urgent_request_is_not_admitted_to_reserved_capacity():
    asked = (10_000.0, 3000.0, 3000.0)
    load = _load(held=(30_000.0, 50_000.0, 10_000.0), asked=asked)
    assert _blocker(load, _candidate(2)) is stream_admission.Blocker.KEPT
    assert _blocker(load, _candidate(0)) is None


def test_rank_below_its_assured_share_is_admitted():
    asked = (60_000.0, 3000.0, 3000.0)
    load = _load(held=(97_000.0, 0.0, 0.0), asked=asked)
    assert _blocker(load, _candidate(2)) is None
    full = _load(held=(99_500.0, 0.0, 0.0), asked=asked)
    assert _blocker(full, _candidate(2)) is stream_admission.Blocker.ROOM


def test_streams_that_resume_go_before_new_ones_of_their_urgency():
    activity = stream_admission.Activity(3.0, resuming=1)
    load = _load()
    assert _blocker(load, _candidate(0), activity) is None
    assert (
        _blocker(load, _candidate(1), activity)
        is stream_admission.Blocker.RESUMING
    )
    assert (
        _blocker(load, _candidate(2), activity)
        is stream_admission.Blocker.RESUMING
    )


def test_organisation_over_its_fair_share_leaves_capacity_to_others():
    load = _load(
        held=(92_000.0, 0.0, 0.0),
        asked=(50_000.0, 0.0, 0.0),
        held_by_organisation={LARGE: 90_000.0, SMALL: 2000.0},
        asked_by_organisation={LARGE: 45_000.0, SMALL: 5000.0},
    )
    blocker = _blocker(load, _candidate(0, organisation=LARGE))
    assert blocker is stream_admission.Blocker.OVER_PART
    assert _blocker(load, _candidate(0, organisation=SMALL)) is None


def test_organisations_have_no_limit_while_capacity_suffices():
    load = _load(
        held=(92_000.0, 0.0, 0.0),
        asked=(30_000.0, 0.0, 0.0),
        held_by_organisation={LARGE: 92_000.0},
        asked_by_organisation={LARGE: 30_000.0, SMALL: 1000.0},
    )
    assert _blocker(load, _candidate(0, organisation=LARGE)) is None


def test_instance_without_reports_keeps_to_its_equal_share():
    own = ROOM / 4 - 500.0
    load = _load(held=(own * 4 - 1500.0, 0.0, 0.0), own=own, heard=0)
    assert _blocker(load, _candidate(0)) is stream_admission.Blocker.OWN_PART


def test_unknown_capacity_is_left_to_the_path_search():
    load = _load(held=(500.0, 0.0, 0.0))._replace(room_tokens=0.0)
    assert _blocker(load, _candidate(2)) is None


def test_expected_wait_grows_with_what_is_missing_and_with_rank():
    asked = (10_000.0, 10_000.0, 10_000.0)
    load = _load(held=(40_000.0, 40_000.0, 20_000.0), asked=asked)
    waits = [_wait_s(load, _candidate(rank)) for rank in range(3)]
    assert 0.0 < waits[0] < waits[1] < waits[2]
    assert waits[0] == pytest.approx(1000.0 / (ROOM / 3.0))
    assert _wait_s(load, _candidate(0), 5000.0) > waits[0]
    assert _wait_s(_load(), _candidate(2)) == 0.0


def test_path_of_less_urgent_request_may_use_less_of_the_longest_pause():
    load = _load(asked=(15_000.0, 5000.0, 0.0))
    shares = stream_admission.divide_capacity(load, ACTIVITY.hold_s)
    pauses = [
        stream_admission.pause_share(load, shares, rank) for rank in range(3)
    ]
    assert pauses[0] == 1.0
    assert 1.0 > pauses[1] > pauses[2] >= 1.0 - stream_admission.PAUSE_RESERVE


def test_retry_delays_are_spread_bounded_and_shorter_for_urgent_requests():
    for expected_s in (0.0, 1.0, 2.0, 60.0):
        times = [
            stream_admission.retry_after_s(expected_s, draw / 10.0, 1)
            for draw in range(11)
        ]
        assert times == sorted(set(times))
        assert min(times) >= min(expected_s, 3.0)
        assert max(times) <= stream_admission.MAX_RETRY_S
    least = [stream_admission.retry_after_s(0.0, 0.5, r) for r in range(3)]
    assert least == sorted(set(least))
