"""The service document: what a team states about its own service.

The types say what a well-formed document holds; :mod:`.validation` checks
one against them. Mappings are named by their key, as in the JSON text.
"""

from typing import NamedTuple


class Model(NamedTuple):
    """A model and the version that is to be served.

    ``layers`` counts its layers, ``hidden_width`` is the width of its
    activations, ``layer_mb`` the weight of one layer in MB. ``min_copies``
    is how many whole copies placement keeps loaded at the least.
    """

    layers: int
    hidden_width: int
    layer_mb: int
    version: str
    adapters: tuple[str, ...] = ()
    min_copies: int = 1


class Pool(NamedTuple):
    """How much of the shared pool the service may draw.

    ``share`` is its weight against other services, ``floor`` the fraction
    of the pool that nobody else may take, both from 0 to 1; with ``lend``
    its unused part may be used by others meanwhile.
    """

    share: float
    floor: float = 0.0
    lend: bool = True


class Kind(NamedTuple):
    """A kind of request.

    Exactly one of ``model`` and ``plain_service`` is set. ``worth`` weighs
    a completed request; ``deadline_s`` is in seconds. A kind that is not
    ``repeatable`` runs at most once and needs an idempotency key.
    """

    worth: float
    deadline_s: float
    model: str = ''
    plain_service: str = ''
    repeatable: bool = True


class Organisation(NamedTuple):
    """A customer of the service; ``weight`` is its part of the share."""

    weight: float = 1.0


class PlainService(NamedTuple):
    """A service beside the engines, found in the instance list by name."""

    concurrency: int = 32


class ServiceDocument(NamedTuple):
    """One team's whole document.

    ``fencing_ignored_by`` lists the accelerator kinds whose engines don't
    check fencing numbers.
    """

    service: str
    pool: Pool
    model_by_name: dict[str, Model]
    kind_by_name: dict[str, Kind]
    organisation_by_name: dict[str, Organisation]
    plain_service_by_name: dict[str, PlainService]
    fencing_ignored_by: tuple[str, ...] = ()


class InForce(NamedTuple):
    """A valid document and the store revision that made it so."""

    revision: int
    document: ServiceDocument


def document_key(service: str) -> str:
    """Returns the store key of a service's document."""
    return f'{DOCUMENT_PREFIX}{service}'


DOCUMENT_PREFIX = 'documents/'
