"""Tells peers which targets are reachable again."""

from cactusmux_base import decoding
import msgspec

from . import down_targets
from . import gossip_topics
from . import targets

TOPIC = 'up'
MAX_TARGETS = 16


class RecoveryTopic(gossip_topics.GossipTopic):
    """Shares the findings of instances that rechecked targets."""

    name = TOPIC

    def __init__(self, down: down_targets.DownTargets) -> None:
        self._down = down
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = decoding.msgpack_decoder(list[targets.Start])

    def own(self) -> bytes:
        """Returns the targets that this instance found up again."""
        found = self._down.recently_recovered()
        return self._encoder.encode(found[-MAX_TARGETS:]) if found else b''

    def take(self, sender: str, data: bytes) -> None:
        """Rechecks the targets that a peer found up again."""
        for start in self._decoder.decode(data)[:MAX_TARGETS]:
            self._down.record_peer_recovery(start)
