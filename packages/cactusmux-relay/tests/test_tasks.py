from cactusmux_base import timers
from cactusmux_relay import tasks


def test_unexpected_exception_does_not_end_a_task():
    steps = []

    def step():
        steps.append(1)
        raise KeyError('revision')

    timer = timers.ManualTimers()
    started_at = timer.now()
    for _ in range(3):
        tasks.run_step('t', step, timer)
    assert len(steps) == 3
    assert timer.now() - started_at == 3 * tasks.FAILURE_PAUSE_S
