from cactusmux_base import turns
import gevent
import pytest

# The loop of gevent runs up to 50 tasks before it looks at its timers.
ROUNDS = 20


@pytest.fixture(name='pauses')
def _pauses(monkeypatch):
    pauses = []
    monkeypatch.setattr(turns, 'pause', lambda: pauses.append(1))
    return pauses


def test_task_pauses_after_a_number_of_steps_however_small(pauses):
    own = turns.Turns()
    for _ in range(10 * turns.MAX_STEPS):
        own.record()
    assert len(pauses) == 10


def test_task_pauses_after_a_number_of_bytes_however_few_steps(pauses):
    own = turns.Turns()
    for _ in range(10):
        own.record(turns.MAX_BYTES)
    assert len(pauses) == 10


# Guards against a pause in which only ready tasks run, and no timeout fires.
def test_timers_fire_in_each_pause():
    fired = []
    for _ in range(ROUNDS):
        gevent.spawn_later(0.0, fired.append, 1)

    def work():
        for _ in range(ROUNDS):
            before = len(fired)
            gevent.spawn_later(0.0, fired.append, 1)
            turns.pause()
            turns.pause()
            assert len(fired) > before

    gevent.spawn(work).get(timeout=10.0)
