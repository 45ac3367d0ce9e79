"""Rendezvous hashing: the choice is agreed, spread and stable."""

from cactusmux_base import rendezvous

MEMBERS = [f'10.0.0.{n}:80' for n in range(28)]


def test_order_and_repeats_of_members_do_not_matter() -> None:
    chosen = rendezvous.choose(MEMBERS, 'job', 2)
    assert len(chosen) == 2
    assert rendezvous.choose(MEMBERS[::-1] + MEMBERS, 'job', 2) == chosen
    assert rendezvous.choose(MEMBERS[:1], 'job', 2) == (MEMBERS[0],)


def test_member_that_goes_moves_only_its_own_jobs() -> None:
    jobs = [f'job-{n}' for n in range(200)]
    before = {job: rendezvous.choose(MEMBERS, job, 1)[0] for job in jobs}
    assert len(set(before.values())) > 20
    gone = before[jobs[0]]
    rest = [member for member in MEMBERS if member != gone]
    for job in jobs:
        after = rendezvous.choose(rest, job, 1)[0]
        assert after == before[job] or before[job] == gone
