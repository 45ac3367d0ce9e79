"""Tells the other instances which targets have been found to be up again."""

import msgspec

from . import down_targets
from . import gossip_topics
from . import targets

TOPIC = 'up'
MAX_TOLD = 16


class RecoveryTopic(gossip_topics.GossipTopic):
    """What the instances that looked tell those that didn't."""

    name = TOPIC

    def __init__(self, down: down_targets.DownTargets) -> None:
        self._down = down
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(list[targets.Start])

    def own(self) -> bytes:
        """Returns the targets that this instance found to be up again."""
        found = self._down.recently_recovered()
        return self._encoder.encode(found[-MAX_TOLD:]) if found else b''

    def take(self, sender: str, data: bytes) -> None:
        """Has the targets looked at that another instance found to be up."""
        for start in self._decoder.decode(data)[:MAX_TOLD]:
            self._down.note_peer_recovery(start)
