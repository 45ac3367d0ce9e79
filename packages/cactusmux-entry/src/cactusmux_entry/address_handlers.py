"""Handler of requests for instance addresses."""

import urllib.parse

from returns import result

from . import addresses
from . import problems
from . import responses
from . import surface


class AddressHandlers:
    """Answers ``/addresses[?zone=ZONE&region=REGION]``.

    Without a zone or region in the query, this instance's own is used.
    """

    def __init__(
        self, known: addresses.Addresses, own_place: addresses.Place
    ) -> None:
        self._known = known
        self._own_place = own_place

    def handle(self, call: surface.Call) -> responses.Response:
        """Returns addresses and the time in seconds to cache them.

        :raises problems.RequestFailed: if no instance is available.
        """
        query = urllib.parse.parse_qs(call.query)
        place = addresses.Place(
            query.get('zone', [self._own_place.zone])[0],
            query.get('region', [self._own_place.region])[0],
        )
        lookup = self._known.answer(place)
        if isinstance(lookup, result.Failure):
            failure = lookup.failure()
            raise problems.RequestFailed(
                problems.refused(
                    failure.reason,
                    str(failure),
                    retry_after_s=failure.retry_after_s,
                )
            )
        answer = lookup.unwrap()
        content = {
            'addresses': [{'address': one} for one in answer.addresses],
            'lifetime_s': answer.lifetime_s,
        }
        response = responses.from_json(content)
        max_age = f'max-age={int(answer.lifetime_s)}'
        headers = [*response.headers, ('Cache-Control', max_age)]
        return response._replace(headers=headers)
