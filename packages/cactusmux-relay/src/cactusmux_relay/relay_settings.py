"""What an instance of the relay is told: its place, bounds, translations."""

from collections.abc import Callable
from typing import NamedTuple

from cactusmux_platform import stores

from . import desired_state
from . import dialect
from . import layer_orders
from . import targets


class RelaySettings(NamedTuple):
    """An instance's place, its addresses and the bounds on repeats.

    :ivar entry_address: where callers connect.
    :ivar exchange_address: of news (UDP) and copies (TCP) between instances.
    :ivar state_prefix: of the store's keys of the desired state.
    :ivar target_prefix: of the store's keys of targets.
    :ivar late_callers_s: how long callers may come after a planned stop.
    :ivar link_mbps: of the machine's link, 0 if it isn't known.
    :ivar cores: processor time that may be used, 0 if it isn't known.
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


class Translations(NamedTuple):
    """What a deployment provides: its store, its spelling, its targets."""

    store: stores.ConfigStore
    reader: stores.SnapshotReader
    header_dialect: dialect.Dialect
    decode_state: Callable[[stores.Entry], desired_state.DesiredState | None]
    decode_target: Callable[[stores.Entry], targets.Target | None]
    orders: layer_orders.LayerOrders
