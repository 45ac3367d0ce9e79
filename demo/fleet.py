"""The fleet of the demonstration: fakes and instances."""

import json
import pathlib
import time

from cactusmux_base import timers
from cactusmux_fakes import pool

from . import callers
from . import processes

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
DOCUMENT_BY_SERVICE = {
    'steppe-thread': EXAMPLES / 'steppe-thread.json',
    'consigna-arte': EXAMPLES / 'consigna-arte.json',
}
MODELS = ('drafter', 'conditions')
READY_TIMEOUT_S = 60.0
POLL_S = 0.1
LIMITS = {'limits': {'address_lifetime_s': 2.0, 'drain_margin_s': 1.0}}


class FleetFailed(Exception):
    """The fleet did not become ready."""


class Fleet:
    """Fakes in this process, and instances in processes of their own."""

    def __init__(self, instance_count: int, folder: pathlib.Path) -> None:
        self.pool = pool.StandInPool(timers.GeventTimers(), are_loaded=False)
        self.plans = processes.plan_instances(instance_count)
        self.processes: list[processes.InstanceProcess] = []
        self._folder = folder

    def start(self) -> None:
        """Starts all parts and puts both documents in force."""
        self.pool.start()
        for plan in self.plans:
            self.pool.list_instance(processes.listed(plan))
            self.processes.append(self._start(plan))
        self._wait_for_path('/healthz')
        first = self.plans[0].address
        for service, path in DOCUMENT_BY_SERVICE.items():
            response = callers.send(
                first, 'PUT', f'/documents/{service}', path.read_bytes()
            )
            if not response.completed:
                raise FleetFailed(
                    f'document of {service} was rejected: {response.problem}'
                )
        self._wait_for_path('/readyz')
        self.wait_for_targets()

    def stop(self) -> None:
        """Stops all instances and fakes."""
        for process in self.processes:
            if process.is_running():
                process.kill()
        self.pool.stop()

    def addresses(self) -> list[str]:
        """Returns the addresses of running instances."""
        return [p.plan.address for p in self.processes if p.is_running()]

    def wait_for_targets(self) -> None:
        """Waits until each instance knows its region's engines and models."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        for plan in self.plans:
            engine_count = self.pool.count_engines(plan.place.region)
            while not _is_pool_known(plan.address, engine_count):
                if time.monotonic() > deadline:
                    raise FleetFailed(
                        f'{plan.address} does not know all targets in time'
                    )
                time.sleep(POLL_S)

    def _start(
        self, plan: processes.InstancePlan
    ) -> processes.InstanceProcess:
        seeds = [other.peer_address for other in self.plans[:2]]
        return processes.start_instance(
            plan, self.pool.platform.address, seeds, self._folder, LIMITS
        )

    def _wait_for_path(self, path: str) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        for address in self.addresses():
            while not callers.send(address, 'GET', path).completed:
                if time.monotonic() > deadline:
                    raise FleetFailed(f'{address} does not answer {path}')
                time.sleep(POLL_S)


def _is_pool_known(address: str, engines: int) -> bool:
    """Returns whether an instance knows all engines and routes all models."""
    answer = callers.send(address, 'GET', '/state')
    if not answer.completed:
        return False
    state = json.loads(answer.text)
    return len(state['target_by_address']) >= engines and sorted(
        state['models_with_route']
    ) == sorted(MODELS)
