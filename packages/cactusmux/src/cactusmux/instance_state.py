"""State of an instance for operators and readiness probes."""

from cactusmux_base import metrics
from cactusmux_control import documents
from cactusmux_control import in_force
from cactusmux_entry import draining
from cactusmux_entry import leaving_watch
from cactusmux_entry import surface
from cactusmux_peers import peer_service
from cactusmux_routing import choosers
from returns import pipeline

from . import pool_view
from . import settings as settings_lib


class InstanceState:
    """Reads the state of an instance's components, without side effects.

    The surface and the drain are set after they were created.
    """

    surface: surface.Surface
    drain: draining.Drain

    def __init__(
        self,
        settings: settings_lib.Settings,
        sink: metrics.MemoryMetrics,
        peers: peer_service.PeerService,
        held: in_force.DocumentsInForce,
        pool: pool_view.PoolView,
        leaving: leaving_watch.LeavingWatch,
        chooser: choosers.RouteChooser,
    ) -> None:
        self._settings = settings
        self._metrics = sink
        self._peers = peers
        self._held = held
        self._pool = pool
        self._leaving = leaving
        self._chooser = chooser

    def not_ready_reason(self) -> str:
        """Returns the reason to get no new callers; empty when ready."""
        if not self.drain.accepts_callers:
            return 'draining'
        missing = [
            service
            for service in self._settings.services
            if self._held.in_force(service) is None
        ]
        if missing:
            return f'no document of {", ".join(missing)}'
        if not self._pool.table.target_by_address:
            return 'no target is known'
        return ''

    def as_json(self) -> dict[str, object]:
        """Returns the state of this instance as a JSON object."""
        members = {
            member.instance_id: {
                'address': member.address,
                'zone': member.zone,
                'state': member.state.name.lower(),
                'incarnation': member.incarnation,
            }
            for member in self._peers.view.live()
        }
        targets_known = {
            address: {
                'zone': target.zone,
                'holdings': [list(held) for held in target.holdings],
                'running': target.running,
            }
            for address, target in self._pool.table.target_by_address.items()
        }
        return {
            'instance': self._settings.instance_id,
            'process': self._peers.instance_id,
            'requests_in_flight': self.surface.in_flight,
            'member_by_process': members,
            'target_by_address': targets_known,
            'models_with_route': self._models_with_route(),
            'leaving_targets': sorted(self._leaving.leaving()),
            'counter_by_name': dict(self._metrics.counter_by_name),
            'gauge_by_name': dict(self._metrics.gauge_by_name),
        }

    def revisions_by_instance(self) -> dict[str, dict[str, int]]:
        own = self._peers.view.own
        revisions = {
            member.instance_id: dict(member.revision_by_service)
            for member in self._peers.view.live()
        }
        revisions[own.instance_id] = self._held.revision_by_service()
        return revisions

    def _models_with_route(self) -> list[str]:
        """Returns the models with a route for each of their adapters."""
        return [
            name
            for held in self._held.all_in_force().values()
            for name, model in held.document.model_by_name.items()
            if all(
                self._has_route(name, model, adapter)
                for adapter in ('', *model.adapters)
            )
        ]

    def _has_route(
        self, name: str, model: documents.Model, adapter: str
    ) -> bool:
        request = choosers.RouteRequest(
            name, model.version, adapter, model.layers
        )
        return pipeline.is_successful(self._chooser.choose(request))
