"""Handlers for health, readiness, state and explanations."""

from collections.abc import Callable
from http import HTTPStatus

from . import explain
from . import problems
from . import responses
from . import surface

RETRY_AFTER_S = 1.0


class StateHandlers:
    """Answers probes and operators' requests.

    :param not_ready_reason: returns the reason why the instance should get
        no new callers, or an empty string.
    :param state: returns the state of the instance as a JSON object.
    """

    def __init__(
        self,
        explain_log: explain.ExplainLog,
        not_ready_reason: Callable[[], str],
        state: Callable[[], dict[str, object]],
    ) -> None:
        self._explain_log = explain_log
        self._not_ready_reason = not_ready_reason
        self._state = state

    def health(self, call: surface.Call) -> responses.Response:
        """Answers the liveness probe."""
        return responses.from_json({'healthy': True})

    def ready(self, call: surface.Call) -> responses.Response:
        """Answers the readiness probe: whether to send new callers here."""
        reason = self._not_ready_reason()
        if reason:
            raise problems.RequestFailed(
                problems.refused(
                    'not_ready', reason, retry_after_s=RETRY_AFTER_S
                )
            )
        return responses.from_json({'ready': True})

    def state(self, call: surface.Call) -> responses.Response:
        """Returns the state of the instance."""
        return responses.from_json(self._state())

    def explain(self, call: surface.Call) -> responses.Response:
        """Returns the decisions taken for a recent request."""
        request_id = '/'.join(call.rest)
        trace = self._explain_log.find(request_id)
        if trace is None:
            raise problems.RequestFailed(
                problems.refused(
                    'unknown_request',
                    f'{request_id!r} is not a recent request of this instance',
                    HTTPStatus.NOT_FOUND,
                )
            )
        steps = [
            {'at_s': step.at_s, 'event': step.event, **step.fields}
            for step in trace.steps
        ]
        return responses.from_json({'request_id': request_id, 'steps': steps})
