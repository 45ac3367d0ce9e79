"""Tests of a planned stop, with a clock that only tests move."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import draining
import pytest

SETTINGS = draining.DrainSettings(lifetime_s=30.0, margin_s=10.0)
KEPT_S = 40.0
State = draining.DrainState


class Stop:
    """A drain with requests whose start and end are given times."""

    def __init__(self, requests=(), settings=SETTINGS) -> None:
        self.clock = timers.ManualTimers(0.0)
        self.metric = metrics.MemoryMetrics()
        self.in_flight = 0
        self.refused = 0
        self.log: list[str] = []
        for start, end in requests:
            self.clock.after(start, lambda end=end: self._request(end))
        self.drain = draining.Drain(
            self.clock,
            self.metric,
            settings,
            leave=[self._fail, lambda: self.log.append('leave')],
            close=[lambda: self.log.append('close')],
            unfinished=[lambda: self.in_flight],
        )

    def _fail(self) -> None:
        raise OSError('peers cannot be reached')

    def _request(self, end: float) -> None:
        if not self.drain.serves:
            self.refused += 1
            return
        self.in_flight += 1
        self.clock.after(end - self.clock.now(), self._finish)

    def _finish(self) -> None:
        self.in_flight -= 1


# Requests with start and end, and when the stop has to end.
CASES = [
    ([], KEPT_S),
    ([(0.0, 5.0)], KEPT_S),
    ([(39.0, 39.5)], KEPT_S),
    ([(39.9, 70.0)], 70.0),
    ([(0.0, 300.0), (20.0, 200.0)], 300.0),
]


@pytest.mark.parametrize('requests, ends_at', CASES)
def test_stop_waits_for_kept_answers_and_for_requests(
    requests: list[tuple[float, float]], ends_at: float
) -> None:
    stop = Stop(requests)
    drained = stop.drain.run()
    assert drained.cut == 0
    assert stop.refused == 0
    assert drained.waited_s == pytest.approx(ends_at, abs=0.11)
    assert stop.drain.state is State.DONE


def test_request_after_answers_ran_out_is_refused_not_cut() -> None:
    stop = Stop([(0.0, 60.0), (45.0, 50.0)])
    drained = stop.drain.run()
    assert (drained.cut, stop.refused) == (0, 1)


def test_limit_ends_the_wait_and_counts_what_is_cut() -> None:
    stop = Stop([(0.0, 1_000.0)], SETTINGS._replace(limit_s=100.0))
    drained = stop.drain.run()
    assert drained.cut == 1
    assert drained.waited_s == pytest.approx(100.0, abs=0.11)
    assert stop.metric.counter_by_name['drain.cut'] == 1


def test_instance_is_out_of_answers_at_once_but_serves() -> None:
    stop = Stop()
    seen: list[tuple[bool, bool, str]] = []

    def look() -> None:
        drain = stop.drain
        seen.append((drain.accepts_callers, drain.serves, drain.state))

    stop.clock.after(0.01, look)
    stop.clock.after(KEPT_S - 0.01, look)
    look()
    stop.drain.run()
    look()
    assert seen == [
        (True, True, State.SERVING),
        (False, True, State.LEAVING),
        (False, True, State.LEAVING),
        (False, False, State.DONE),
    ]


def test_failed_action_does_not_keep_others_from_running() -> None:
    stop = Stop()
    stop.drain.run()
    assert stop.log == ['leave', 'close']
    assert stop.metric.counter_by_name['drain.action_failed'] == 1


def test_second_signal_changes_nothing() -> None:
    stop = Stop()
    stop.clock.after(1.0, lambda: stop.drain.run())
    assert stop.drain.run().waited_s == pytest.approx(KEPT_S)
    assert stop.log == ['leave', 'close']
