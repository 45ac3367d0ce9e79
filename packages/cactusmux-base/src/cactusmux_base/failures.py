"""Base class of all failure types.

A function that can fail returns ``returns.result.Result``. The failure is
an instance of a subclass of :class:`CactusmuxError`, never a string.
"""


class CactusmuxError(Exception):
    """A typed failure.

    ``reason`` identifies the kind of failure in metrics, logs and error
    responses. Subclasses set it and add fields for what caused the failure.
    """

    reason = 'failure'

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and vars(self) == vars(other)

    def __hash__(self) -> int:
        return hash((type(self), str(self)))
