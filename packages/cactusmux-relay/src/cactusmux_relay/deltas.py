"""Changes under a store prefix, sent by watching instances to the others.

In a large fleet only a few instances watch the store. They forward each
change, so that the calls to the store don't grow with the fleet. A lost
delta is noticed by the next delta or by gossip, and a full copy is fetched.
"""

from cactusmux_platform import stores
import msgspec


class Delta(msgspec.Struct, array_like=True, frozen=True, tag='delta'):
    """The changes from one answer of a watch.

    :ivar after: the sender's revision before these changes.
    :ivar revision: the sender's revision with these changes.
    :ivar settles_in_s: seconds during which missing entries may still be
        written again.
    :ivar era: era of both revisions; builds without eras leave it out.
    """

    prefix: str
    after: int
    revision: int
    changes: tuple[stores.Change, ...]
    settles_in_s: float = 0.0
    era: int = 0

    @property
    def position(self) -> stores.Position:
        """The sender's position with these changes."""
        return stores.Position(self.era, self.revision)


def ignore(_delta: Delta) -> None:
    """Drops a delta; the default where no peer needs it."""
