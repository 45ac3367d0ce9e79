"""Probes whether a target accepts connections."""

import enum
import socket as std_socket
from typing import NamedTuple

from cactusmux_base import timers
from gevent import socket

from . import local_errors


class Outcome(enum.StrEnum):
    """Result of a connection attempt; used in logs."""

    ACCEPTED = 'accepted'
    # Refused or reset by the target itself.
    REFUSED = 'refused'
    # Not accepted; the cause may be on this instance's side.
    UNANSWERED = 'unanswered'


class ProbeResult(NamedTuple):
    """Result of one connection attempt.

    :ivar cause: error text of the operating system.
    :ivar waited_s: duration of the attempt; longer than the timeout if this
        instance's event loop was delayed.
    :ivar is_local: whether this instance lacked descriptors, ports or a
        route, so that the target wasn't reached at all.
    """

    outcome: Outcome
    cause: str
    waited_s: float
    is_local: bool = False


def probe_address(
    address: str, timeout_s: float, timer: timers.TimerService
) -> ProbeResult:
    """Connects to ``IP:PORT`` and closes at once; blocks the calling task."""
    begun_at = timer.now()
    tried = _try(address, timeout_s)
    return tried._replace(waited_s=timer.now() - begun_at)


def _try(address: str, timeout_s: float) -> ProbeResult:
    host, _, port = address.rpartition(':')
    try:
        sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    except OSError as error:
        cause = error.strerror or 'could not create a socket'
        return ProbeResult(Outcome.UNANSWERED, cause, 0.0, is_local=True)
    try:
        sock.settimeout(timeout_s)
        sock.connect((host, int(port)))
    except TimeoutError:
        return ProbeResult(Outcome.UNANSWERED, 'connection timed out', 0.0)
    except (ConnectionRefusedError, ConnectionResetError) as error:
        cause = error.strerror or 'connection refused'
        return ProbeResult(Outcome.REFUSED, cause, 0.0)
    except OSError as error:
        cause = error.strerror or 'connection failed'
        is_local = local_errors.is_local(error)
        return ProbeResult(Outcome.UNANSWERED, cause, 0.0, is_local)
    except (ValueError, OverflowError) as error:
        return ProbeResult(Outcome.UNANSWERED, str(error), 0.0)
    finally:
        sock.close()
    return ProbeResult(Outcome.ACCEPTED, 'accepts connections', 0.0)
