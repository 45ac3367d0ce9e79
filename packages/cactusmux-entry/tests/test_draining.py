"""Tests of graceful shutdown, with a manual clock."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import draining
import pytest

SETTINGS = draining.DrainSettings(lifetime_s=30.0, margin_s=10.0)
SERVING_S = 40.0
State = draining.DrainState


class Shutdown:
    """A drain with requests that start and end at given times."""

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


# Start and end of requests, and the expected end of the shutdown.
CASES = [
    ([], SERVING_S),
    ([(0.0, 5.0)], SERVING_S),
    ([(39.0, 39.5)], SERVING_S),
    ([(39.9, 70.0)], 70.0),
    ([(0.0, 300.0), (20.0, 200.0)], 300.0),
]


@pytest.mark.parametrize('requests, ends_at', CASES)
def test_shutdown_waits_for_cached_addresses_and_requests(
    requests: list[tuple[float, float]], ends_at: float
) -> None:
    shutdown = Shutdown(requests)
    drained = shutdown.drain.run()
    assert drained.cut == 0
    assert shutdown.refused == 0
    assert drained.waited_s == pytest.approx(ends_at, abs=0.11)
    assert shutdown.drain.state is State.DONE


def test_request_after_cached_addresses_expired_is_refused() -> None:
    shutdown = Shutdown([(0.0, 60.0), (45.0, 50.0)])
    drained = shutdown.drain.run()
    assert (drained.cut, shutdown.refused) == (0, 1)


def test_limit_ends_the_wait_and_counts_interrupted_requests() -> None:
    shutdown = Shutdown([(0.0, 1_000.0)], SETTINGS._replace(limit_s=100.0))
    drained = shutdown.drain.run()
    assert drained.cut == 1
    assert drained.waited_s == pytest.approx(100.0, abs=0.11)
    assert shutdown.metric.counter_by_name['drain.cut'] == 1


def test_instance_stops_accepting_callers_but_still_serves() -> None:
    shutdown = Shutdown()
    seen: list[tuple[bool, bool, str]] = []

    def record_state() -> None:
        drain = shutdown.drain
        seen.append((drain.accepts_callers, drain.serves, drain.state))

    shutdown.clock.after(0.01, record_state)
    shutdown.clock.after(SERVING_S - 0.01, record_state)
    record_state()
    shutdown.drain.run()
    record_state()
    assert seen == [
        (True, True, State.SERVING),
        (False, True, State.LEAVING),
        (False, True, State.LEAVING),
        (False, False, State.DONE),
    ]


def test_failed_action_does_not_prevent_other_actions() -> None:
    shutdown = Shutdown()
    shutdown.drain.run()
    assert shutdown.log == ['leave', 'close']
    assert shutdown.metric.counter_by_name['drain.action_failed'] == 1


def test_second_run_has_no_effect() -> None:
    shutdown = Shutdown()
    shutdown.clock.after(1.0, lambda: shutdown.drain.run())
    assert shutdown.drain.run().waited_s == pytest.approx(SERVING_S)
    assert shutdown.log == ['leave', 'close']
