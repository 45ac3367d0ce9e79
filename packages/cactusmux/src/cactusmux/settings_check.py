"""Validates the settings of an instance, and lists every fault."""

import ipaddress
from typing import Annotated, Any, NotRequired

from cactusmux_base import failures
from cactusmux_control import validation
from cactusmux_routing import policies
import pydantic
from returns import result

# pydantic doesn't support typing.TypedDict before Python 3.12.
from typing_extensions import TypedDict

from . import settings

MAX_PORT = 65_535
# A body counts with the framing of its chunks.
MIN_HELD_BODIES = 2
CLAIM_MODES = (settings.DIRECT_CLAIMS, settings.BATCHED_CLAIMS)


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f'{text!r} is not IP:PORT') from None
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f'{text!r} has no port from 1 to {MAX_PORT}')
    return text


def _check_policy(name: str) -> str:
    if name not in policies.CHOOSER_BY_NAME:
        known = ', '.join(sorted(policies.CHOOSER_BY_NAME))
        raise ValueError(f'{name!r} is not one of {known}')
    return name


def _check_claims(mode: str) -> str:
    if mode not in CLAIM_MODES:
        raise ValueError(f'{mode!r} is not one of {", ".join(CLAIM_MODES)}')
    return mode


_Name = Annotated[str, pydantic.Field(pattern=validation.NAME_PATTERN)]
_Address = Annotated[str, pydantic.AfterValidator(_check_address)]
_Policy = Annotated[str, pydantic.AfterValidator(_check_policy)]
_Claims = Annotated[str, pydantic.AfterValidator(_check_claims)]
_Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


@pydantic.with_config(validation.STRICT)
class _Limits(TypedDict):
    max_requests: NotRequired[Annotated[int, pydantic.Field(ge=1, le=100_000)]]
    max_connections: NotRequired[
        Annotated[int, pydantic.Field(ge=16, le=100_000)]
    ]
    max_held_bytes: NotRequired[
        Annotated[int, pydantic.Field(ge=1_048_576, le=1 << 40)]
    ]
    max_head_bytes: NotRequired[
        Annotated[int, pydantic.Field(ge=8_192, le=1_048_576)]
    ]
    max_body_bytes: NotRequired[
        Annotated[int, pydantic.Field(ge=1024, le=268_435_456)]
    ]
    body_timeout_s: NotRequired[_Seconds]
    first_token_s: NotRequired[_Seconds]
    token_gap_s: NotRequired[_Seconds]
    drain_margin_s: NotRequired[_Seconds]
    drain_limit_s: NotRequired[_Seconds]
    address_lifetime_s: NotRequired[_Seconds]


def _check_held_bytes(limits: _Limits) -> _Limits:
    defaults = settings.Limits()
    held = limits.get('max_held_bytes', defaults.max_held_bytes)
    body = limits.get('max_body_bytes', defaults.max_body_bytes)
    if held < MIN_HELD_BODIES * body:
        raise ValueError(
            f'max_held_bytes {held} is less than {MIN_HELD_BODIES} '
            f'max_body_bytes {body}'
        )
    return limits


@pydantic.with_config(validation.STRICT)
class _Platform(TypedDict):
    config_store: _Address
    instance_list: _Address
    weight_store: _Address
    statsd: NotRequired[_Address]
    weight_part: NotRequired[Annotated[float, pydantic.Field(gt=0, le=1)]]


@pydantic.with_config(validation.STRICT)
class _Settings(TypedDict):
    instance_id: _Name
    address: _Address
    peer_address: _Address
    region: _Name
    zone: _Name
    services: Annotated[list[_Name], pydantic.Field(min_length=1)]
    platform: _Platform
    seeds: NotRequired[list[_Address]]
    policy: NotRequired[_Policy]
    claims: NotRequired[_Claims]
    limits: NotRequired[
        Annotated[_Limits, pydantic.AfterValidator(_check_held_bytes)]
    ]


_ADAPTER = pydantic.TypeAdapter(_Settings)


class SettingsInvalid(failures.CactusmuxError):
    """The settings are invalid; ``faults`` lists every reason."""

    reason = 'settings_invalid'

    def __init__(self, faults: validation.Faults) -> None:
        lines = [f'{fault.path}: {fault.message}' for fault in faults]
        super().__init__('; '.join(lines))
        self.faults = faults


def check_settings(
    text: bytes,
) -> result.Result[settings.Settings, SettingsInvalid]:
    """Returns the settings, or every fault with its JSON path."""
    checked = validation.check_text(text, _ADAPTER)
    return checked.map(_to_settings).alt(SettingsInvalid)


def _to_settings(checked: _Settings) -> settings.Settings:
    fields: dict[str, Any] = dict(checked)
    fields['services'] = tuple(checked['services'])
    fields['seeds'] = tuple(checked.get('seeds', ()))
    fields['platform'] = settings.Platform(**checked['platform'])
    fields['limits'] = settings.Limits(**checked.get('limits', {}))
    return settings.Settings(**fields)
