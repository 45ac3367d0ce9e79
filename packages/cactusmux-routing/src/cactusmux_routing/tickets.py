"""Requests as seen by admission, and the requests that are running."""

from typing import NamedTuple

from . import fair_queue
from . import retries

PRIORITY_ENTITLED = 1
PRIORITY_BORROWED = 0
# Exponent of a kind's worth per token in its weight: 1 is proportional, larger
# values approach strict priority by worth.
WORTH_EXPONENT = 2.5
MIN_WORTH = 1e-6


class RequestClass(NamedTuple):
    """The properties of a request that admission uses.

    ``cost`` is the expected number of tokens, ``worth`` the value of its
    completion.
    """

    service: str
    organisation: str
    kind: str
    model: str
    worth: float
    cost: float
    deadline: retries.Deadline


def kind_weight(request: RequestClass) -> float:
    """Returns the weight of a request's kind within its organisation."""
    worth_per_token = max(request.worth, MIN_WORTH) / max(request.cost, 1.0)
    return worth_per_token**WORTH_EXPONENT


class Ticket(NamedTuple):
    """Permission to start; to be released when the request has ended.

    Engines serve requests of lower ``priority`` later: borrowed capacity
    yields when its owner needs it.
    """

    number: int
    request: RequestClass
    priority: int
    waited_s: float


class RunningRequests:
    """Running requests, counted by model and by entitled service."""

    def __init__(self) -> None:
        self.entry_by_number: dict[int, fair_queue.Entry] = {}
        self.entitled_by_service: dict[str, int] = {}
        self.count_by_model: dict[str, int] = {}
        self._model_and_priority_by_number: dict[int, tuple[str, int]] = {}

    def begin(
        self, entry: fair_queue.Entry, model: str, priority: int
    ) -> None:
        """Adds a request that starts."""
        self.entry_by_number[entry.number] = entry
        self._model_and_priority_by_number[entry.number] = (model, priority)
        self._count(entry, model, priority, 1)

    def end(self, number: int) -> fair_queue.Entry | None:
        """Removes a request that has ended.

        Returns ``None`` if it is unknown.
        """
        entry = self.entry_by_number.pop(number, None)
        if entry is not None:
            model, priority = self._model_and_priority_by_number.pop(number)
            self._count(entry, model, priority, -1)
        return entry

    def _count(
        self, entry: fair_queue.Entry, model: str, priority: int, by: int
    ) -> None:
        models = self.count_by_model
        models[model] = models.get(model, 0) + by
        if priority == PRIORITY_ENTITLED:
            service = entry.leaf.service
            entitled = self.entitled_by_service
            entitled[service] = entitled.get(service, 0) + by
