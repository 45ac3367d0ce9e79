"""Settings of an instance, and what its deployment provides."""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_platform import store_eras
from cactusmux_platform import stores

from . import desired_state
from . import dialect
from . import layer_orders
from . import targets

# Three heartbeats of 1.2 s, after which a store also removes the entries of
# targets that are gone.
RESTORED_SETTLE_S = 3.6
# Sources, libraries, the log and what a library opens for a moment.
DESCRIPTORS_FOR_FILES = 64


class RelaySettings(NamedTuple):
    """An instance's location, its addresses and its limits.

    :ivar entry_address: address that callers connect to.
    :ivar exchange_address: address for gossip (UDP) and copies (TCP) between
        instances.
    :ivar state_prefix: prefix of the desired state's keys in the store.
    :ivar target_prefix: prefix of the targets' keys in the store.
    :ivar repeat_ratio: retries allowed for each request.
    :ivar repeat_allowance: retries allowed besides.
    :ivar repeat_window_s: time over which both are counted.
    :ivar late_callers_s: how long callers may still arrive after a graceful
        shutdown has begun.
    :ivar stop_within_s: time limit of a graceful shutdown.
    :ivar restored_settle_s: time within which others write again what a
        restored store lacks; until then missing entries aren't removed.
    :ivar link_mbps: bandwidth of the machine's link, 0 if unknown.
    :ivar cores: processor time that may be used, 0 if unknown.
    :ivar descriptors: limit of the machine on descriptors, 0 if unknown.
    :ivar descriptors_for_files: how many of them are kept for files.
    :ivar memory_mb: memory that the process may take, 0 if unknown.
    """

    name: str
    zone: str
    region: str
    entry_address: str
    exchange_address: str
    state_prefix: str
    target_prefix: str
    repeat_ratio: float
    repeat_allowance: float
    repeat_window_s: float
    late_callers_s: float
    stop_within_s: float
    link_mbps: float = 0.0
    cores: float = 0.0
    descriptors: int = 0
    descriptors_for_files: int = DESCRIPTORS_FOR_FILES
    memory_mb: float = 0.0
    restored_settle_s: float = RESTORED_SETTLE_S


class Translations(NamedTuple):
    """What a deployment provides: store access, header format and decoders.

    :ivar eras: the eras of ``store``, which records them.
    :ivar decode_state: decodes an entry of the desired state; ``None`` if it
        can't.
    :ivar decode_target: likewise for an entry of a target.
    :ivar orders: sends orders to targets.
    """

    store: stores.TransactionalStore
    eras: store_eras.StoreEras
    reader: stores.SnapshotReader
    header_dialect: dialect.Dialect
    decode_state: Callable[[stores.Entry], desired_state.DesiredState | None]
    decode_target: Callable[[stores.Entry], targets.Target | None]
    orders: layer_orders.LayerOrders
