"""The service document: a team's configuration of its own service.

The types describe a valid document; :mod:`.validation` checks text against
them. Mappings are named after their key, as in the JSON text.
"""

from typing import NamedTuple


class Model(NamedTuple):
    """A model and the version to serve.

    ``layers`` is the number of layers, ``hidden_width`` the width of the
    activations, ``layer_mb`` the size of one layer's weights in MB.
    ``min_copies`` is the minimum number of complete copies that placement
    keeps loaded.
    """

    layers: int
    hidden_width: int
    layer_mb: int
    version: str
    adapters: tuple[str, ...] = ()
    min_copies: int = 1


class Pool(NamedTuple):
    """The service's entitlement to the shared pool.

    ``share`` is its weight relative to other services, ``floor`` the
    fraction of the pool reserved for it, both from 0 to 1. With ``lend``
    other services may use its unused part.
    """

    share: float
    floor: float = 0.0
    lend: bool = True


class Kind(NamedTuple):
    """A kind of request.

    Exactly one of ``model`` and ``plain_service`` is set. ``worth`` is the
    value of a completed request; ``deadline_s`` is in seconds. A kind that
    is not ``repeatable`` runs at most once and needs an idempotency key.
    """

    worth: float
    deadline_s: float
    model: str = ''
    plain_service: str = ''
    repeatable: bool = True


class Organisation(NamedTuple):
    """A customer of the service; ``weight`` divides the service's share."""

    weight: float = 1.0


class PlainService(NamedTuple):
    """A service without a model, found by name in the instance list."""

    concurrency: int = 32


class ServiceDocument(NamedTuple):
    """The complete document of one team.

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
    """A valid document and the revision by which instances order it."""

    revision: int
    document: ServiceDocument


def document_key(service: str) -> str:
    """Returns the store key of a service's document."""
    return f'{DOCUMENT_PREFIX}{service}'


DOCUMENT_PREFIX = 'documents/'
