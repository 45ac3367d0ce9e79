import logging
import os

from cactusmux_base import bounded_log
from cactusmux_base import prometheus_metrics
from cactusmux_base import timers
import pytest


@pytest.fixture(name='pipe')
def _pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _record(text, level=logging.INFO):
    return logging.LogRecord('n', level, 'f', 1, text, (), None)


def _read(reader):
    try:
        return os.read(reader, 1 << 20)
    except BlockingIOError:
        return b''


def test_lines_over_rate_limit_are_dropped_and_counted(pipe):
    timer = timers.ManualTimers()
    handler = bounded_log.BoundedHandler(pipe[1], timer)
    for number in range(1000):
        handler.emit(_record(f'line {number}'))
    lines = _read(pipe[0]).splitlines()
    assert len(lines) == bounded_log.LINES_PER_S
    timer.advance(bounded_log.REPORT_PERIOD_S + 1.0)
    handler.emit(_record('later'))
    assert _read(pipe[0]).splitlines() == [
        b'event=log_lines_left_out count=600',
        b'later',
    ]


def test_warnings_are_dropped_last(pipe):
    handler = bounded_log.BoundedHandler(pipe[1], timers.ManualTimers())
    for _ in range(1000):
        handler.emit(_record('info'))
    handler.emit(_record('urgent', logging.WARNING))
    assert _read(pipe[0]).splitlines()[-1] == b'urgent'


def test_full_pipe_never_blocks_and_keeps_lines_complete(pipe):
    timer = timers.ManualTimers()
    handler = bounded_log.BoundedHandler(pipe[1], timer)
    text = 'x' * 999
    for _ in range(300):
        handler.emit(_record(text))
        timer.advance(1.0)
    received = _read(pipe[0])
    handler.emit(_record(text))
    received += _read(pipe[0])
    lines = received.split(b'\n')
    assert lines[-1] == b''
    for line in lines[:-1]:
        assert line == text.encode() or line.startswith(b'event=log_lines')


def test_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    handler = bounded_log.BoundedHandler(writer, timers.ManualTimers())
    os.close(reader)
    handler.emit(_record('nobody reads'))
    os.close(writer)


def test_metrics_as_text():
    metric = prometheus_metrics.PrometheusMetrics()
    metric.count('relay.refused.no_room', 2)
    metric.gauge('believed.targets', 41)
    metric.timing('relay.stream.first', 0.08)
    text = metric.text().decode()
    assert 'cactusmux_relay_refused_no_room_total 2.0' in text
    assert 'cactusmux_believed_targets 41.0' in text
    assert 'cactusmux_relay_stream_first_seconds_bucket{le="0.1"} 1.0' in text
