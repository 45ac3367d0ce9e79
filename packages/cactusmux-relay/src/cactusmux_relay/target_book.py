"""What this instance believes of the targets of each service."""

from collections.abc import Iterable, Mapping

from . import desired
from . import segments
from . import targets


class TargetBook:
    """Targets by service, and the segments of layers that they can run."""

    def __init__(self) -> None:
        self._ready_by_service: dict[str, list[targets.Target]] = {}
        self._graph_by_service: dict[str, segments.SegmentGraph] = {}
        self.target_by_id: dict[str, targets.Target] = {}
        self.target_by_address: dict[str, targets.Target] = {}

    def replace(
        self,
        all_targets: Iterable[targets.Target],
        service_by_name: Mapping[str, desired.Service],
    ) -> None:
        """Takes a new list of targets and recomputes the segments."""
        self.target_by_id = {each.id: each for each in all_targets}
        self.target_by_address = {}
        self._ready_by_service = {}
        for target in self.target_by_id.values():
            self.target_by_address[target.address] = target
            if target.is_leaving:
                continue
            ready = self._ready_by_service.setdefault(target.service, [])
            ready.append(target)
        self._graph_by_service = {}
        for name, service in service_by_name.items():
            if service.engine is None:
                continue
            self._graph_by_service[name] = segments.SegmentGraph(
                service.engine, self.ready(name)
            )

    def ready(self, service: str) -> list[targets.Target]:
        """Returns the targets of a service that may get new work."""
        return self._ready_by_service.get(service, [])

    def graph(self, service: str) -> segments.SegmentGraph | None:
        """Returns the segments of a model's service, ``None`` for others."""
        return self._graph_by_service.get(service)
