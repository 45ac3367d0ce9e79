"""Gauges of an instance's view of the fleet, its age, and event loop lag."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_platform import store_eras
import gevent

from . import request_handling
from . import store_mirror
from . import target_registry

PERIOD_S = 1.0
LAG_PROBE_S = 0.05


class Gauges:
    """Sets gauges once a second."""

    def __init__(
        self,
        in_force: request_handling.ConfigurationInForce,
        registry: target_registry.TargetRegistry,
        mirror_by_prefix: dict[str, store_mirror.StoreMirror],
        eras: store_eras.StoreEras,
        timer: timers.TimerService,
        metric: metrics.Metrics,
    ) -> None:
        self._in_force = in_force
        self._registry = registry
        self._mirror_by_prefix = mirror_by_prefix
        self._eras = eras
        self._timer = timer
        self._metric = metric

    def start(self) -> None:
        """Starts to set gauges."""
        self._timer.every(PERIOD_S, self.set)
        gevent.spawn(self._measure_lag)

    def set(self) -> None:
        """Sets all gauges."""
        state = self._in_force.state
        version = state.version if state else 0
        self._metric.gauge('believed.configuration_version', version)
        self._metric.gauge(
            'believed.targets', len(self._registry.target_by_id)
        )
        leaving = len(self._registry.leaving())
        self._metric.gauge('believed.targets_leaving', leaving)
        self._metric.gauge('store.era', self._eras.current)
        self._metric.gauge('store.era_changes', self._eras.change_count)
        now = self._timer.now()
        for prefix, mirror in self._mirror_by_prefix.items():
            name = prefix.strip('/').replace('/', '_')
            self._metric.gauge(f'store.connected.{name}', mirror.is_connected)
            self._metric.gauge(f'store.mirror_era.{name}', mirror.position.era)
            age_s = now - mirror.heard_at if mirror.heard_at else -1.0
            self._metric.gauge(f'store.age_seconds.{name}', age_s)

    def _measure_lag(self) -> None:
        """Measures how late the event loop wakes tasks."""
        while True:
            due_at = self._timer.now() + LAG_PROBE_S
            self._timer.sleep(LAG_PROBE_S)
            lag_s = max(0.0, self._timer.now() - due_at)
            self._metric.timing('loop.lag', lag_s)
            self._timer.sleep(PERIOD_S)
