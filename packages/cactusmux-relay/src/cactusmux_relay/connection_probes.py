"""Probes whether a target accepts connections."""

import enum
import socket as std_socket
from typing import NamedTuple

from cactusmux_base import timers
from gevent import socket


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
    """

    outcome: Outcome
    cause: str
    waited_s: float


def probe_address(
    address: str, timeout_s: float, timer: timers.TimerService
) -> ProbeResult:
    """Connects to ``IP:PORT`` and closes at once; blocks the calling task."""
    begun_at = timer.now()
    outcome, cause = _try(address, timeout_s)
    return ProbeResult(outcome, cause, timer.now() - begun_at)


def _try(address: str, timeout_s: float) -> tuple[Outcome, str]:
    host, _, port = address.rpartition(':')
    try:
        sock = socket.socket(std_socket.AF_INET, std_socket.SOCK_STREAM)
    except OSError as error:
        return (
            Outcome.UNANSWERED,
            error.strerror or 'could not create a socket',
        )
    try:
        sock.settimeout(timeout_s)
        sock.connect((host, int(port)))
    except TimeoutError:
        return Outcome.UNANSWERED, 'connection timed out'
    except (ConnectionRefusedError, ConnectionResetError) as error:
        return Outcome.REFUSED, error.strerror or 'connection refused'
    except OSError as error:
        return Outcome.UNANSWERED, error.strerror or 'connection failed'
    except (ValueError, OverflowError) as error:
        return Outcome.UNANSWERED, str(error)
    finally:
        sock.close()
    return Outcome.ACCEPTED, 'accepts connections'
