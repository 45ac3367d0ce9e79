"""Runs an instance's HTTP server until the process is told to stop."""

import signal

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_entry import caller_connections
from cactusmux_entry import caller_server
from cactusmux_peers import grpc_transport
import gevent
from gevent import event

from . import external_clients
from . import instance as instance_lib
from . import io_batching
from . import settings as settings_lib

METRICS_PREFIX = 'cactusmux'


def serve(settings: settings_lib.Settings) -> int:
    """Serves until SIGTERM or SIGINT, then drains the instance.

    Returns the number of requests interrupted at the drain limit.
    """
    grpc_transport.use_gevent()
    timer = timers.GeventTimers()
    sink = make_metrics(settings)
    clients = external_clients.connect(settings, sink)
    instance = instance_lib.Instance(settings, timer, sink, clients)
    server = _make_server(settings, instance, timer, sink)
    batching = io_batching.IoBatching(lambda: instance.surface.in_flight)
    stopping = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopping.set)
    server.start()
    instance.start()
    batching.start()
    stopping.wait()
    drained = instance.drain.run()
    server.stop(timeout=1)
    instance.stop()
    return drained.cut


def _make_server(
    settings: settings_lib.Settings,
    instance: instance_lib.Instance,
    timer: timers.TimerService,
    sink: metrics.Metrics,
) -> caller_server.CallerServer:
    limits = settings.limits
    connections = caller_connections.CallerConnections(
        caller_connections.Limits(
            caller_connections.usable_connections(limits.max_connections),
            limits.max_held_bytes,
        ),
        timer,
        sink,
    )
    return caller_server.CallerServer(
        settings.address,
        instance.surface,
        limits.max_head_bytes,
        connections,
        limits.body_timeout_s,
    )


def make_metrics(settings: settings_lib.Settings) -> metrics.MemoryMetrics:
    """Returns metrics, which are sent to statsd if it is configured."""
    if not settings.platform.statsd:
        return metrics.MemoryMetrics()
    host, _, port = settings.platform.statsd.rpartition(':')
    prefix = f'{METRICS_PREFIX}.{settings.instance_id}'
    return metrics.StatsdMetrics(host, int(port), prefix)
