"""Client sockets that tell a lost connection from the end of its data.

The kernel reports the loss of a connection to one call only. If that is a
send, the next receive returns no data, as it does after the peer has ended
its data: a response without a length would look complete.
"""

import errno
from typing import Any

from gevent import socket


class ClientSocket(socket.socket):
    """Reports the loss of a connection to its receiver, too."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._loss: OSError | None = None

    def send(self, *args: Any, **kwargs: Any) -> int:
        """Sends data; raises ``OSError``. ``sendall`` uses it, too."""
        try:
            return int(super().send(*args, **kwargs))
        except OSError as error:
            if _may_lose_data(error):
                self._loss = error
            raise

    def recv(self, *args: Any) -> bytes:
        """Receives data; empty only where the peer has ended its data.

        Raises ``OSError`` if the connection was lost, also if a send has
        been told so before.
        """
        data: bytes = super().recv(*args)
        if not data and self._loss is not None:
            raise OSError(self._loss.errno, 'connection lost while sending')
        return data


def _may_lose_data(error: OSError) -> bool:
    """Whether a failed send leaves open what the peer has sent.

    A broken pipe means that the peer had ended its data before, all of which
    has arrived. A timeout of gevent, which has no number, leaves the
    connection as it is.
    """
    return error.errno not in (None, errno.EPIPE)
