"""Changes of a prefix of the store, from instances that watch to others.

In a large fleet few instances watch. What their watches bring they send on
as it comes, so that the calls to the store don't grow with the fleet. A
change that is lost on the way shows in the next one, or in the news, and a
copy is pulled then.
"""

from cactusmux_platform import stores
import msgspec


class Delta(msgspec.Struct, array_like=True, frozen=True, tag='delta'):
    """What one answer of a watch has brought.

    :ivar after: revision as of which the sender knew the entries before.
    :ivar revision: as of which it knows them with these changes.
    :ivar settles_in_s: until then missing entries may come back.
    """

    prefix: str
    after: int
    revision: int
    changes: tuple[stores.Change, ...]
    settles_in_s: float = 0.0


def ignore(_delta: Delta) -> None:
    """Where nobody is to be told of a delta."""
