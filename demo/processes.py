"""Starts and stops instances as processes of their own."""

import json
import pathlib
import signal
import socket
import subprocess
import sys
from typing import NamedTuple

from cactusmux_fakes import pool
from cactusmux_platform import instances

HOST = '127.0.0.1'
STOP_TIMEOUT_S = 30.0


class InstancePlan(NamedTuple):
    """Where one instance runs and under which name."""

    instance_id: str
    place: pool.Place
    address: str
    peer_address: str


class InstanceProcess:
    """One running instance."""

    def __init__(self, plan: InstancePlan, settings: pathlib.Path) -> None:
        self.plan = plan
        self._log = settings.with_suffix('.log').open('wb')
        program = pathlib.Path(sys.executable).with_name('cactusmux')
        self._process = subprocess.Popen(
            [str(program), 'serve', str(settings)],
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def is_running(self) -> bool:
        """Tells whether the process has not ended."""
        return self._process.poll() is None

    def terminate(self) -> None:
        """Asks for a planned stop, without waiting for it."""
        self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Ends the process at once, as a crash would."""
        self._process.kill()
        self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the end and returns the exit status."""
        status = self._process.wait(timeout_s)
        self._log.close()
        return status


def plan_instances(count: int) -> list[InstancePlan]:
    """Plans instances over the places of the pool, on free ports."""
    ports = _free_ports(2 * count)
    plans = []
    for index in range(count):
        zones = pool.REGION_PLACES[index % len(pool.REGION_PLACES)]
        place = zones[index // 2 % len(zones)]
        plans.append(
            InstancePlan(
                f'{place.zone}-{index}',
                place,
                f'{HOST}:{ports[2 * index]}',
                f'{HOST}:{ports[2 * index + 1]}',
            )
        )
    return plans


def start_instance(
    plan: InstancePlan,
    platform_address: str,
    seeds: list[str],
    folder: pathlib.Path,
    extra_settings: dict[str, object],
) -> InstanceProcess:
    """Writes an instance's settings and starts it."""
    settings = {
        'instance_id': plan.instance_id,
        'address': plan.address,
        'peer_address': plan.peer_address,
        'region': plan.place.region,
        'zone': plan.place.zone,
        'services': ['steppe-thread', 'consigna-arte'],
        'platform': {
            'config_store': platform_address,
            'instance_list': platform_address,
            'weight_store': platform_address,
        },
        'seeds': seeds,
    }
    settings.update(extra_settings)
    path = folder / f'{plan.instance_id}.json'
    path.write_text(json.dumps(settings, indent=2))
    return InstanceProcess(plan, path)


def listed(plan: InstancePlan) -> instances.ListedInstance:
    """Returns an instance's line of the platform's list."""
    return instances.ListedInstance(
        plan.address,
        instances.Role.ENTRY,
        plan.place.region,
        plan.place.zone,
        peer_address=plan.peer_address,
    )


def _free_ports(count: int) -> list[int]:
    sockets = []
    for _ in range(count):
        one = socket.socket()
        one.bind((HOST, 0))
        sockets.append(one)
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports
