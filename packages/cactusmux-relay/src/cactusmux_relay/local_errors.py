"""Recognises connection failures whose cause is this instance."""

import errno

# Nothing was sent, for want of descriptors, ports, memory or a route.
_LOCAL_ERRNOS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    )
)


def is_local(error: BaseException) -> bool:
    """Whether a connect failed without reaching the other side."""
    return isinstance(error, OSError) and error.errno in _LOCAL_ERRNOS
