"""Test with a process stopped between its lease check and its order."""

from collections.abc import Iterator
import contextlib
import pathlib
import signal
import sys

from cactusmux_base import timers
from cactusmux_fakes import engine_server
from cactusmux_fakes import engines
from cactusmux_fakes import platform_server
import gevent
from gevent import subprocess
import pytest

SCRIPT = pathlib.Path(__file__).with_name('holder_process.py')
TIMEOUT_S = 60.0


@contextlib.contextmanager
def start_holder(*arguments: str) -> Iterator[subprocess.Popen]:
    process = subprocess.Popen(
        [sys.executable, str(SCRIPT), *arguments],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        process.stdin.close()
        process.stdout.close()


def wait_for_version(engine: engines.Engine, version: str) -> None:
    while [one.version for one in engine.report().holdings] != [version]:
        gevent.sleep(0.05)


@pytest.mark.parametrize(
    ('checks_fencing', 'outcome', 'version'),
    [(True, b'order_fenced\n', 'v2'), (False, b'taken\n', 'v1')],
)
def test_order_of_a_stopped_process_has_no_effect(
    checks_fencing: bool, outcome: bytes, version: str
) -> None:
    """For targets without fencing, the new holder keeps the pending order."""
    platform = platform_server.PlatformServer()
    platform.start()
    config = engines.EngineConfig(checks_fencing=checks_fencing)
    fabric = engines.Fabric(timers.GeventTimers())
    server = engine_server.EngineServer(fabric, config)
    server.start()
    addresses = (platform.address, server.address)
    try:
        with (
            gevent.Timeout(TIMEOUT_S),
            start_holder(*addresses, 'v1', 'hold') as paused,
        ):
            assert paused.stdout.readline() == b'in hand\n'
            paused.send_signal(signal.SIGSTOP)
            assert server.engine.orders_taken == []
            with start_holder(*addresses, 'v2', 'send'):
                wait_for_version(server.engine, version)
                successor_order = server.engine.orders_taken[-1]
                paused.stdin.write(b'\n')
                paused.stdin.flush()
                paused.send_signal(signal.SIGCONT)
                assert paused.stdout.readline() == outcome
                wait_for_version(server.engine, version)
                late = server.engine.orders_taken[-1]
                assert late.holdings == successor_order.holdings
                assert (late == successor_order) == checks_fencing
    finally:
        server.stop()
        platform.stop()
