"""Order in which waiting requests of a service search for a path.

It answers a pool that is full for some seconds, after a loss or in a burst.
New requests search in the order of their arrival, so that later ones don't
take the capacity that earlier ones wait for. Callers that were refused before
can't be served in time any more and search while no new request waits: if
they went first, new requests would be refused in their place, return in turn
and be late as well, for as long as the pool is nearly full. Only the first
few requests search at a time, because each search takes processor time.
"""

import enum
import itertools

# Share of its objective for which a new request may wait. The rest of the
# time is for the prefill in a busy pool.
MAX_WAIT_SHARE = 0.5
# A request that needs much capacity mustn't hold up smaller ones behind it.
MAX_SEARCHING = 3


class Rank(enum.IntEnum):
    """Order of the kinds of requests; lower ones search first.

    :cvar RESUMED: a stream whose caller has a part of the answer.
    :cvar NEW: a request that can be served in time.
    :cvar RETURNING: a request that was refused before.
    """

    RESUMED = 0
    NEW = 1
    RETURNING = 2


def new_request_wait_s(objective_s: float, passed_s: float) -> float:
    """Returns how long a new request may wait for a path, in seconds.

    :param objective_s: time in which its caller wants the first event.
    :param passed_s: time since its arrival.
    """
    return max(0.0, MAX_WAIT_SHARE * objective_s - passed_s)


class PathQueue:
    """Waiting requests of one service at this instance."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        # The inner dictionaries are used as ordered sets.
        self._waiting_by_rank: dict[Rank, dict[int, None]] = {
            rank: {} for rank in Rank
        }

    def join(self, rank: Rank) -> int:
        """Adds a request behind those of its rank; returns its number."""
        number = next(self._numbers)
        self._waiting_by_rank[rank][number] = None
        return number

    def leave(self, number: int) -> None:
        """Removes a request that was served, refused or given up."""
        for waiting in self._waiting_by_rank.values():
            waiting.pop(number, None)

    def ahead_of(self, number: int) -> int:
        """Returns how many waiting requests come before this one."""
        count = 0
        for waiting in self._waiting_by_rank.values():
            if number in waiting:
                return count + sum(each < number for each in waiting)
            count += len(waiting)
        return count

    def may_search(self, number: int) -> bool:
        """Whether a request is among the first ones.

        Resumed streams always search: their callers see the pause.
        """
        resumed = self._waiting_by_rank[Rank.RESUMED]
        new = self._waiting_by_rank[Rank.NEW]
        if number in resumed:
            return True
        first = new or self._waiting_by_rank[Rank.RETURNING]
        return number in itertools.islice(first, MAX_SEARCHING)
