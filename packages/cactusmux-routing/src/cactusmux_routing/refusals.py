"""Why a request was not admitted; it was not run."""

from cactusmux_base import failures


class Refused(failures.CactusmuxError):
    """The request was not run; ``retry_after_s`` is when to try again.

    Callers that obey come back spread over time, no faster than their
    organisation's share serves them.
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
    """The queue is full, mostly of requests like this one."""

    reason = 'queue_full'


class PredictedLate(Refused):
    """It would have started too late for its deadline."""

    reason = 'predicted_late'


class ShareExceeded(Refused):
    """The organisation asks for more than its share, and waits too long."""

    reason = 'share_exceeded'


class WaitedTooLong(Refused):
    """It waited until it could no longer meet its deadline."""

    reason = 'waited_too_long'


class NoShare(Refused):
    """No document in force gives the organisation a share."""

    reason = 'no_share'


class NoCapacity(Refused):
    """No target is known that could run anything."""

    reason = 'no_capacity'


class Draining(Refused):
    """This instance is stopping; another one may serve it at once."""

    reason = 'draining'
