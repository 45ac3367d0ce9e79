"""The base of all failure types.

A function that can fail returns ``returns.result.Result``; its failure is
an instance of a type derived from :class:`CactusmuxError`, never a string.
"""


class CactusmuxError(Exception):
    """A typed failure.

    ``reason`` names the kind of failure in metrics, logs and refusals;
    derived classes set it and give fields that name the offending thing.
    """

    reason = 'failure'

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and vars(self) == vars(other)

    def __hash__(self) -> int:
        return hash((type(self), str(self)))
