"""Counters, gauges and timings, kept in memory and sent to statsd."""

import abc
import collections

import statsd


class Metrics(abc.ABC):
    """Interface to report counters, gauges and durations.

    Names are dotted and in lower case; a reason is the last segment, as in
    ``entry.refused.no_route``.
    """

    @abc.abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to the counter ``name``."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge ``name``."""

    @abc.abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""


class MemoryMetrics(Metrics):
    """Keeps counters and gauges in memory.

    A timing is kept as a gauge with the last duration.
    """

    def __init__(self) -> None:
        self.counter_by_name: dict[str, int] = collections.defaultdict(int)
        self.gauge_by_name: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        self.counter_by_name[name] += amount

    def gauge(self, name: str, value: float) -> None:
        self.gauge_by_name[name] = value

    def timing(self, name: str, seconds: float) -> None:
        self.gauge_by_name[name] = seconds


class StatsdMetrics(MemoryMetrics):
    """Sends metrics to statsd over UDP and also keeps them in memory."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        super().count(name, amount)
        self._client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        super().gauge(name, value)
        self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        super().timing(name, seconds)
        self._client.timing(name, seconds * 1000.0)
