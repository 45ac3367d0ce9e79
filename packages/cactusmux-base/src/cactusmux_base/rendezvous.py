"""Rendezvous hashing: members agree who does a job without talking."""

from collections.abc import Iterable
import hashlib


def choose(members: Iterable[str], job: str, count: int) -> tuple[str, ...]:
    """Returns the ``count`` members that rank highest for ``job``.

    A member that joins or goes changes the choice only for jobs that it
    ranks high for itself. Returns all when there are fewer.
    """
    ranked = sorted(set(members), key=lambda member: _score(member, job))
    return tuple(ranked[:count])


def _score(member: str, job: str) -> bytes:
    digest = hashlib.blake2b(member.encode(), key=job.encode(), digest_size=8)
    return digest.digest()
