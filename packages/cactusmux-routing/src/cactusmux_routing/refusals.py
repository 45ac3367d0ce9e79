"""Reasons for which a request was not admitted; it was not run."""

from cactusmux_base import failures


class Refused(failures.CactusmuxError):
    """The request was not run; ``retry_after_s`` is the time to retry.

    Callers that follow it come back spread over time, no faster than their
    organisation's share allows.
    """

    reason = 'refused'

    def __init__(self, organisation: str, retry_after_s: float) -> None:
        super().__init__(
            f'{self.reason}: request of organisation {organisation!r}; '
            f'retry after {retry_after_s:.1f} s'
        )
        self.organisation = organisation
        self.retry_after_s = retry_after_s


class QueueFull(Refused):
    """The queue is full, mostly with requests of this organisation."""

    reason = 'queue_full'


class PredictedLate(Refused):
    """The request would have started too late for its deadline."""

    reason = 'predicted_late'


class ShareExceeded(Refused):
    """The organisation exceeds its share, and the request would be late."""

    reason = 'share_exceeded'


class WaitedTooLong(Refused):
    """The request waited until it could no longer meet its deadline."""

    reason = 'waited_too_long'


class NoShare(Refused):
    """No document in force gives the organisation a share."""

    reason = 'no_share'


class NoCapacity(Refused):
    """No known target has capacity."""

    reason = 'no_capacity'


class Draining(Refused):
    """This instance is shutting down; another one may serve the request."""

    reason = 'draining'
