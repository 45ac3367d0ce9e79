"""Statuses that a response may have (RFC 9110, 15)."""

_FINAL_STATUSES = range(200, 600)


def is_final(status: int) -> bool:
    """Whether a whole response may have this status.

    Others are informational, or belong to no class.
    """
    return status in _FINAL_STATUSES
