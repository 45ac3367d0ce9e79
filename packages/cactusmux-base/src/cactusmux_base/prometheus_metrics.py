"""Counters, gauges and histograms in the Prometheus text format."""

import prometheus_client
from prometheus_client import exposition

from . import metrics

PREFIX = 'cactusmux_'
# Upper bounds in seconds. They include the latency objectives 0.3 and 0.5
# and the pause objective 0.25.
BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.25,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
)


class PrometheusMetrics(metrics.Metrics):
    """Keeps metrics in a separate registry.

    A dotted name becomes one metric: ``relay.refused.no_room`` is
    ``cactusmux_relay_refused_no_room_total``.
    """

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._counter_by_name: dict[str, prometheus_client.Counter] = {}
        self._gauge_by_name: dict[str, prometheus_client.Gauge] = {}
        self._histogram_by_name: dict[str, prometheus_client.Histogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        counter = self._counter_by_name.get(name)
        if counter is None:
            counter = prometheus_client.Counter(
                _metric_name(name),
                f'Count of {name}.',
                registry=self._registry,
            )
            self._counter_by_name[name] = counter
        counter.inc(amount)

    def gauge(self, name: str, value: float) -> None:
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = prometheus_client.Gauge(
                _metric_name(name),
                f'Level of {name}.',
                registry=self._registry,
            )
            self._gauge_by_name[name] = gauge
        gauge.set(value)

    def timing(self, name: str, seconds: float) -> None:
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = prometheus_client.Histogram(
                _metric_name(name) + '_seconds',
                f'Duration of {name}.',
                registry=self._registry,
                buckets=BUCKETS_S,
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(seconds)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)


def _metric_name(dotted: str) -> str:
    return PREFIX + dotted.replace('.', '_').replace('-', '_')
