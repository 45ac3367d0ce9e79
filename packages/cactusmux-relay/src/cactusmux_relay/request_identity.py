"""Identifies requests that are the same but for their id.

A caller that asks again sends another request id. Requests are the same if
their service, method, path, organisation, prompt and body are.
"""

import hashlib

from . import context

DIGEST_BYTES = 12
# No part of a prompt has an id that begins like this.
PREFIX = 'request-'


def identify(exchange: context.Exchange) -> str:
    """Returns a short id of a request, equal for equal requests.

    The organisation is part of it: no other one's requests have the same id.
    """
    request = exchange.request
    organisation = exchange.organisation
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (
        exchange.service.name,
        organisation.name if organisation else '',
        request.method,
        request.path,
        exchange.facts.prompt_id,
    ):
        encoded = field.encode()
        digest.update(len(encoded).to_bytes(4, 'big'))
        digest.update(encoded)
    digest.update(request.body)
    return PREFIX + digest.hexdigest()
