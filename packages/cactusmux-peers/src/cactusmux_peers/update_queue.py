"""Queue of claims to disseminate, a few with each message."""

import heapq
import math

from . import members

MAX_UPDATES = 12
_TRANSMISSIONS_PER_DIGIT = 4


class UpdateQueue:
    """Sends each claim in a number of messages that grows with log n.

    The least often sent claims go first, so that a burst of claims starves
    none of them. A newer claim about a member replaces an older one.
    """

    def __init__(self) -> None:
        self._claim_by_id: dict[str, members.Member] = {}
        self._sent_by_id: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._claim_by_id)

    def add(self, claim: members.Member) -> None:
        """Queues a new claim."""
        self._claim_by_id[claim.instance_id] = claim
        self._sent_by_id[claim.instance_id] = 0

    def take(self, member_count: int) -> list[members.Member]:
        """Returns up to ``MAX_UPDATES`` claims for the next message."""
        if not self._claim_by_id:
            return []
        chosen = heapq.nsmallest(
            MAX_UPDATES, self._sent_by_id, key=self._sent_by_id.__getitem__
        )
        claims = [self._claim_by_id[instance_id] for instance_id in chosen]
        limit = transmission_limit(member_count)
        for instance_id in chosen:
            self._sent_by_id[instance_id] += 1
            if self._sent_by_id[instance_id] >= limit:
                del self._sent_by_id[instance_id]
                del self._claim_by_id[instance_id]
        return claims


def transmission_limit(member_count: int) -> int:
    """Returns the number of messages that carry each claim."""
    digits = math.ceil(math.log10(member_count + 1))
    return _TRANSMISSIONS_PER_DIGIT * max(1, digits)
