"""Identifies what the requests of a service may have in common.

These are the parts of prompts that requests share, and the request itself,
which its caller may send again.
"""

import hashlib
from typing import NamedTuple

from . import context
from . import request_identity

# Longer ids are replaced by a hash, so that callers can't fill messages.
MAX_ID_LENGTH = 32
HASH_BYTES = 12


class PartKey(NamedTuple):
    """A part of a prompt, or a whole request, as sent to one service.

    :ivar part: id of the part, or of the request by its content.
    """

    service: str
    part: str

    @property
    def is_request(self) -> bool:
        """Whether it stands for a whole request."""
        return self.part.startswith(request_identity.PREFIX)


class Requester(NamedTuple):
    """What a request is judged by.

    :ivar organisation: name of the caller's organisation, empty without one.
    :ivar parts: the parts that it may share with other requests.
    :ivar request: the request itself; ``None`` if it isn't judged by itself.
    """

    organisation: str
    parts: tuple[PartKey, ...]
    request: PartKey | None = None

    @property
    def keys(self) -> tuple[PartKey, ...]:
        """The parts and the request."""
        if self.request is None:
            return self.parts
        return (*self.parts, self.request)

    @property
    def without_parts(self) -> 'Requester':
        """The same, judged by the whole request alone."""
        return self._replace(parts=())


def requester_of(exchange: context.Exchange) -> Requester:
    """Returns what a request is judged by.

    These are the shared parts of its prompt, which plain requests don't have,
    and the request itself.
    """
    organisation = exchange.organisation
    service = exchange.service.name
    ids = dict.fromkeys(exchange.facts.shared_parts)
    return Requester(
        organisation.name if organisation else '',
        tuple(PartKey(service, _short(each)) for each in ids),
        PartKey(service, request_identity.identify(exchange)),
    )


def _short(part: str) -> str:
    is_ambiguous = part.startswith(request_identity.PREFIX)
    if len(part) <= MAX_ID_LENGTH and not is_ambiguous:
        return part
    digest = hashlib.blake2b(part.encode(), digest_size=HASH_BYTES)
    return digest.hexdigest()
