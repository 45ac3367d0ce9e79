"""Opens a connection to a target only to see whether it is accepted."""

import enum
import socket as std_socket
from typing import NamedTuple

from cactusmux_base import timers
from gevent import socket


class Outcome(enum.StrEnum):
    """How a connection ended; used in logs."""

    ACCEPTED = 'accepted'
    # By the target itself.
    REFUSED = 'refused'
    # Not accepted, for a cause that may lie on our side.
    UNANSWERED = 'unanswered'


class ProbeResult(NamedTuple):
    """One try.

    :ivar cause: as the operating system words it.
    :ivar waited_s: longer than the timeout where our own loop was late.
    """

    outcome: Outcome
    cause: str
    waited_s: float


def probe_address(
    address: str, timeout_s: float, timer: timers.TimerService
) -> ProbeResult:
    """Connects to ``IP:PORT`` and closes at once; blocks its task."""
    begun_at = timer.now()
    outcome, cause = _try(address, timeout_s)
    return ProbeResult(outcome, cause, timer.now() - begun_at)


def _try(address: str, timeout_s: float) -> tuple[Outcome, str]:
    host, _, port = address.rpartition(':')
    try:
        sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    except OSError as error:
        return Outcome.UNANSWERED, error.strerror or 'no socket'
    try:
        sock.settimeout(timeout_s)
        sock.connect((host, int(port)))
    except TimeoutError:
        return Outcome.UNANSWERED, 'connect timed out'
    except (ConnectionRefusedError, ConnectionResetError) as error:
        return Outcome.REFUSED, error.strerror or 'connect refused'
    except OSError as error:
        return Outcome.UNANSWERED, error.strerror or 'connect failed'
    finally:
        sock.close()
    return Outcome.ACCEPTED, 'accepts connections'
