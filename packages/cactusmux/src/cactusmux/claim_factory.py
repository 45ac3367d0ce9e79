"""Creates the claims of requests that must not be repeated."""

from cactusmux_base import metrics
from cactusmux_base import timers
from cactusmux_control import batched_claims
from cactusmux_control import claim_owner
from cactusmux_control import claims
from cactusmux_control import direct_claims
from cactusmux_control import peer_claims
from cactusmux_peers import peer_service
from cactusmux_platform import stores

from . import settings as settings_lib

InstanceClaims = direct_claims.DirectClaims | batched_claims.BatchedClaims


def make_claims(
    mode: str,
    store: stores.ConfigStore,
    timer: timers.TimerService,
    sink: metrics.Metrics,
    process_id: str,
    peers: peer_service.PeerService,
) -> InstanceClaims:
    """Returns claims for a mode: direct, or batched at their owner.

    Direct claims need one write each; batched ones share a write.
    """
    durations = claims.ClaimSettings()
    if mode == settings_lib.BATCHED_CLAIMS:
        owner = claim_owner.ClaimOwner(store, timer, sink, durations)
        forwarder = peer_claims.PeerClaimForwarder(owner, peers)
        return batched_claims.BatchedClaims(
            forwarder, timer, sink, process_id, durations
        )
    return direct_claims.DirectClaims(
        store, timer, sink, process_id, durations
    )
