"""A pool of fakes: platform, engines and plain services."""

from typing import NamedTuple

from cactusmux_base import timers
from cactusmux_platform import instances
from cactusmux_platform import targets

from . import engine_server
from . import engines
from . import plain_server
from . import platform_server

ENGINE_MEMORY_MB = 3_200


class Place(NamedTuple):
    """A region and one of its availability zones."""

    region: str
    zone: str


class ModelLayout(NamedTuple):
    """How one model is split over engines, ``copies`` times.

    ``ends`` are the exclusive end layers of its stages.
    """

    holding: targets.Holding
    ends: tuple[int, ...]
    copies: int


KZ_ZONES = tuple(Place('kz-central', f'kz-central-{n}') for n in 'abc')
LIMA_ZONES = tuple(Place('lima-metro', f'lima-metro-{n}') for n in 'abc')
PLACES = KZ_ZONES + LIMA_ZONES
REGION_PLACES = (KZ_ZONES, LIMA_ZONES)
LAYOUTS = (
    ModelLayout(
        targets.Holding(
            'drafter',
            'v1',
            0,
            8,
            ('almaty-house', 'astana-studio', 'loom-notes'),
        ),
        (3, 6, 8),
        4,
    ),
    ModelLayout(
        targets.Holding('conditions', 'v1', 0, 6, ('es-pe',)), (3, 6), 4
    ),
)
PLAIN_SERVICES = ('portal', 'registry')
ACCELERATORS = ('gpu', 'npu')


class StandInPool:
    """All external systems of a demonstration, in this process."""

    def __init__(
        self,
        timer: timers.TimerService,
        layouts: tuple[ModelLayout, ...] = LAYOUTS,
        config: engines.EngineConfig | None = None,
        are_loaded: bool = True,
    ) -> None:
        """Prepares servers; engines hold no layers unless ``are_loaded``."""
        self.platform = platform_server.PlatformServer(timer=timer)
        self.fabric = engines.Fabric(timer)
        self._timer = timer
        self.engine_by_address: dict[str, engine_server.EngineServer] = {}
        self.plain_by_service: dict[str, list[plain_server.PlainServer]] = {}
        self._are_loaded = are_loaded
        self._config = config or engines.EngineConfig()
        self._listed: list[instances.ListedInstance] = []
        for layout in layouts:
            self._add_model(layout)
        for service in PLAIN_SERVICES:
            self._add_plain(service)

    def start(self) -> None:
        """Starts all servers on free loopback ports."""
        self.platform.start()
        for server in self.engine_by_address.values():
            server.start()
        self.publish()

    def publish(self) -> None:
        """Publishes the current list as the platform's instance list."""
        self.platform.listed.set(tuple(self._listed))

    def list_instance(self, listed: instances.ListedInstance) -> None:
        """Adds an instance to the list, or replaces its entry."""
        self._listed = [x for x in self._listed if x.address != listed.address]
        self._listed.append(listed)
        self.publish()

    def region(self, address: str) -> str:
        """Returns the region of a listed address."""
        return next(x.region for x in self._listed if x.address == address)

    def count_engines(self, region: str) -> int:
        """Returns the number of engines in a region."""
        return sum(
            listed.role is instances.Role.ENGINE and listed.region == region
            for listed in self._listed
        )

    def stop(self) -> None:
        """Stops all servers."""
        for server in self.engine_by_address.values():
            server.stop()
        for servers in self.plain_by_service.values():
            for plain in servers:
                plain.stop()
        self.platform.stop()

    def plain_runs(self) -> dict[str, int]:
        """Returns the count of runs by key, over all plain services."""
        count_by_key: dict[str, int] = {}
        for servers in self.plain_by_service.values():
            for server in servers:
                for key, count in server.run_count_by_key.items():
                    count_by_key[key] = count_by_key.get(key, 0) + count
        return count_by_key

    def _add_model(self, layout: ModelLayout) -> None:
        for copy in range(layout.copies):
            first = 0
            # A copy stays in one region because activations pass between
            # its stages for every token.
            zones = REGION_PLACES[copy % len(REGION_PLACES)]
            for number, last in enumerate(layout.ends):
                holding = layout.holding._replace(first=first, last=last)
                place = zones[number % len(zones)]
                self._add_engine(holding, place, ACCELERATORS[copy // 2 % 2])
                first = last

    def _add_engine(
        self, holding: targets.Holding, place: Place, accelerator: str
    ) -> None:
        config = self._config._replace(checks_fencing=accelerator == 'gpu')
        server = engine_server.EngineServer(self.fabric, config)
        if self._are_loaded:
            server.engine.hold(holding)
        self.engine_by_address[server.address] = server
        self._listed.append(
            instances.ListedInstance(
                server.address,
                instances.Role.ENGINE,
                place.region,
                place.zone,
                accelerator=accelerator,
                memory_mb=ENGINE_MEMORY_MB,
            )
        )

    def _add_plain(self, service: str) -> None:
        servers = self.plain_by_service.setdefault(service, [])
        for place in (KZ_ZONES[0], LIMA_ZONES[0]):
            server = plain_server.PlainServer(self._timer)
            server.start()
            servers.append(server)
            self._listed.append(
                instances.ListedInstance(
                    server.address,
                    instances.Role.PLAIN,
                    place.region,
                    place.zone,
                    service=service,
                )
            )
