"""Clients of the platform's services and the targets."""

from typing import NamedTuple

from cactusmux_base import metrics
from cactusmux_platform import http_instances
from cactusmux_platform import http_plain_services
from cactusmux_platform import http_store
from cactusmux_platform import http_targets
from cactusmux_platform import http_weights
from cactusmux_platform import instances
from cactusmux_platform import plain_services
from cactusmux_platform import stores
from cactusmux_platform import targets
from cactusmux_platform import weights

from . import settings as settings_lib


class ExternalClients(NamedTuple):
    """Clients of the platform's services and the targets."""

    store: stores.ConfigStore
    instance_list: instances.InstanceList
    weight_store: weights.WeightStore
    targets: targets.TargetClient
    plain_services: plain_services.PlainServiceClient


def connect(
    settings: settings_lib.Settings, sink: metrics.Metrics
) -> ExternalClients:
    """Returns HTTP clients of the platform and the targets."""
    platform = settings.platform
    return ExternalClients(
        http_store.HttpConfigStore(platform.config_store, sink),
        http_instances.HttpInstanceList(platform.instance_list, sink),
        http_weights.HttpWeightStore(platform.weight_store, sink),
        http_targets.HttpTargetClient(),
        http_plain_services.HttpPlainServiceClient(),
    )
