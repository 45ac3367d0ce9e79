"""Current targets of each service, as known to this instance."""

from collections.abc import Callable, Iterable, Mapping

from cactusmux_base import events

from . import desired_state
from . import leaving_targets
from . import segments
from . import targets

# Called with the targets that restarted or released layers, by id.
StateLostCallback = Callable[[Mapping[str, targets.Target]], None]


class TargetRegistry:
    """Targets by service, and the layer segments that they can run."""

    def __init__(self) -> None:
        self._leaving = leaving_targets.LeavingTargets()
        self._callbacks: list[StateLostCallback] = []
        self._service_by_name: Mapping[str, desired_state.Service] = {}
        self._ready_by_service: dict[str, list[targets.Target]] = {}
        self._graph_by_service: dict[str, segments.SegmentGraph] = {}
        self.target_by_id: dict[str, targets.Target] = {}
        self.target_by_address: dict[str, targets.Target] = {}

    def replace(
        self,
        all_targets: Iterable[targets.Target],
        service_by_name: Mapping[str, desired_state.Service],
    ) -> None:
        """Replaces the target list and recomputes the segments.

        Targets that announced that they are leaving stay marked as leaving,
        whatever the list says. Services that are no longer configured keep
        their segments while they have targets: streams that began under an
        earlier version need them to go on elsewhere.
        """
        known_by_id = self.target_by_id
        self.target_by_id = {
            each.id: self._leaving.with_leaving_flag(each)
            for each in all_targets
        }
        self._leaving.prune(self.target_by_id)
        self._service_by_name = {
            **self._services_with_targets(),
            **service_by_name,
        }
        self._rebuild_index()
        self._notify_state_lost(known_by_id)

    def _services_with_targets(self) -> dict[str, desired_state.Service]:
        """Returns the known services that still have targets."""
        names = {each.service for each in self.target_by_id.values()}
        return {
            name: service
            for name, service in self._service_by_name.items()
            if name in names
        }

    def subscribe_state_lost(self, callback: StateLostCallback) -> None:
        """Calls ``callback`` with known targets that have lost state.

        These have restarted or released layers, which ends the streams that
        depend on them.
        """
        self._callbacks.append(callback)

    def _notify_state_lost(
        self, known_by_id: Mapping[str, targets.Target]
    ) -> None:
        changed_by_id = {
            each.id: each
            for each in self.target_by_id.values()
            if each.id in known_by_id
            and not each.retains_state_of(known_by_id[each.id])
        }
        if changed_by_id:
            for callback in self._callbacks:
                _call(callback, changed_by_id)

    def record_leaving(
        self, start: targets.Start, source: leaving_targets.Source
    ) -> None:
        """Excludes a target from new work until it restarts."""
        if not self._leaving.record(start, source):
            return
        current = self.target_by_id.get(start.target_id)
        if current is None or current.start != start or current.is_leaving:
            return
        self.target_by_id[current.id] = self._leaving.with_leaving_flag(
            current
        )
        self._rebuild_index()

    def leaving(self) -> list[targets.Start]:
        """Returns the targets that announced that they are leaving."""
        return self._leaving.present_starts(self.target_by_id)

    def ready(self, service: str) -> list[targets.Target]:
        """Returns the targets of a service that accept new work."""
        return self._ready_by_service.get(service, [])

    def ids_at(self, addresses: Iterable[str]) -> frozenset[str]:
        """Returns the ids of the targets at these addresses."""
        return frozenset(
            self.target_by_address[each].id
            for each in addresses
            if each in self.target_by_address
        )

    def has_only_leaving(self, service: str) -> bool:
        """Whether a service has targets, but none accepts new work."""
        if self.ready(service):
            return False
        return any(
            each.service == service for each in self.target_by_id.values()
        )

    def graph(self, service: str) -> segments.SegmentGraph | None:
        """Returns the segments of a service; ``None`` if it runs no model."""
        return self._graph_by_service.get(service)

    def _rebuild_index(self) -> None:
        self.target_by_address = {}
        self._ready_by_service = {}
        for target in self.target_by_id.values():
            self.target_by_address[target.address] = target
            if target.is_leaving:
                continue
            ready = self._ready_by_service.setdefault(target.service, [])
            ready.append(target)
        self._graph_by_service = {}
        for name, service in self._service_by_name.items():
            if service.engine is None:
                continue
            graph = _make_graph(name, service.engine, self.ready(name))
            if graph is not None:
                self._graph_by_service[name] = graph


def _call(
    callback: StateLostCallback, changed_by_id: Mapping[str, targets.Target]
) -> None:
    """Calls a subscriber; if it fails, the others are still called."""
    try:
        callback(changed_by_id)
    except Exception as error:
        events.error(
            'lost_state_not_handled',
            targets=','.join(changed_by_id),
            cause=repr(error),
        )


def _make_graph(
    service: str, engine: desired_state.Engine, ready: list[targets.Target]
) -> segments.SegmentGraph | None:
    """Returns the segments of one service; ``None`` if that fails."""
    try:
        return segments.SegmentGraph(engine, ready)
    except Exception as error:
        events.error(
            'segments_not_computed', service=service, cause=repr(error)
        )
        return None
