"""Rendezvous hashing of jobs to members.

Instances with the same view make the same choice. When a member joins or
leaves, only the jobs that it gains or loses move.
"""

from collections.abc import Sequence
import hashlib
import heapq

from . import members


def choose(
    key: str, candidates: Sequence[members.Member], count: int
) -> tuple[members.Member, ...]:
    """Returns up to ``count`` holders of ``key``, highest score first."""
    return tuple(
        heapq.nlargest(
            count, candidates, key=lambda member: _score(key, member)
        )
    )


def _score(key: str, member: members.Member) -> bytes:
    text = f'{key} {member.instance_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
