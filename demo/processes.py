"""Starts and stops instances as separate processes."""

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
    """The name, place and addresses of an instance."""

    instance_id: str
    place: pool.Place
    address: str
    peer_address: str


class InstanceProcess:
    """The process of one instance."""

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
        """Returns whether the process is still running."""
        return self._process.poll() is None

    def terminate(self) -> None:
        """Requests a graceful shutdown, without waiting for it."""
        self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process, to simulate a crash."""
        self._process.kill()
        self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Waits for the process to exit; returns the exit status."""
        status = self._process.wait(timeout_s)
        self._log.close()
        return status


def plan_instances(count: int) -> list[InstancePlan]:
    """Plans instances over the zones of the pool, on free ports."""
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
    """Returns an instance's entry in the platform's instance list."""
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
        sock = socket.socket()
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
