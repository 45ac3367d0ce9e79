"""Settings of one instance, read from JSON."""

from typing import NamedTuple

DIRECT_CLAIMS = 'direct'
BATCHED_CLAIMS = 'batched'


class Limits(NamedTuple):
    """Limits of an instance; times in seconds, sizes in bytes."""

    max_requests: int = 2_000
    max_connections: int = 10_000
    max_held_bytes: int = 134_217_728
    max_head_bytes: int = 65_536
    max_body_bytes: int = 4_194_304
    body_timeout_s: float = 10.0
    first_token_s: float = 2.0
    token_gap_s: float = 0.4
    drain_margin_s: float = 10.0
    drain_limit_s: float = 600.0
    address_lifetime_s: float = 30.0


class Platform(NamedTuple):
    """Addresses of the platform's services, ``IP:PORT``.

    ``weight_part`` is the fraction of the weight store's rate that the loads
    of this region may use, from 0 to 1.
    """

    config_store: str
    instance_list: str
    weight_store: str
    statsd: str = ''
    weight_part: float = 0.5


class Settings(NamedTuple):
    """Settings of one instance.

    ``address`` is the address for callers, ``peer_address`` for other
    instances. ``seeds`` are the peer addresses contacted first. ``policy``
    is the name of the routing policy. ``claims`` is the mode of claiming
    requests that must not be repeated: one write each, or one for many.
    """

    instance_id: str
    address: str
    peer_address: str
    region: str
    zone: str
    services: tuple[str, ...]
    platform: Platform
    seeds: tuple[str, ...] = ()
    policy: str = 'least_loaded'
    claims: str = DIRECT_CLAIMS
    limits: Limits = Limits()
