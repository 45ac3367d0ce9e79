"""Finds harmful settings in a valid desired state, with their places.

It covers configurations that are accepted but fail to serve callers, such as
entries that can never match and limits that contradict each other.
"""

import abc
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple

from cactusmux_control import json_text
from returns import result

from . import desired_state


class Finding(NamedTuple):
    """A message about one place in a configuration.

    :ivar is_harmful: whether callers would be served wrongly; otherwise the
        message is only a note.
    """

    place: str
    message: str
    is_harmful: bool = True


class Change(NamedTuple):
    """A difference from the version in force.

    :ivar before: old value, ``None`` for an addition.
    :ivar after: new value, ``None`` for a removal.
    :ivar effect: what the change means for callers.
    """

    place: str
    before: Any
    after: Any
    effect: str


class KeyHolder(NamedTuple):
    """An organisation's keys in the order of the configuration text."""

    organisation: str
    place: str
    keys: tuple[str, ...]


class AcceptedConfiguration(NamedTuple):
    """A configuration that Cactusmux accepts.

    :ivar tree: nested mappings by name, for the comparison of two versions.
    """

    version: int
    findings: tuple[Finding, ...]
    tree: Mapping[str, Any]


ReadResult = result.Result[AcceptedConfiguration, tuple[json_text.Fault, ...]]


class ConfigurationReader(abc.ABC):
    """Parses configurations in one text format."""

    @abc.abstractmethod
    def read(self, text: bytes) -> ReadResult:
        """Parses a configuration; returns it or all faults that prevent it."""

    @abc.abstractmethod
    def effect(self, steps: tuple[str, ...]) -> str:
        """Returns the effect on callers of a change in the tree."""


class SourcePlaces(NamedTuple):
    """Places of the parts of a desired state in its text."""

    routes: tuple[str, ...]
    place_by_service: Mapping[str, str]
    limits: str


def find_problems(
    state: desired_state.DesiredState,
    places: SourcePlaces,
    holders: tuple[KeyHolder, ...],
) -> Iterator[Finding]:
    """Yields all findings, harmful ones and notes."""
    yield from _hidden_routes(state.routes, places.routes)
    for route, place in zip(state.routes, places.routes, strict=True):
        yield from _service_findings(state, route, place)
        yield from _contradictions(route, place)
    yield from _unused_services(state, places)
    yield from _limit_findings(state.limits, places.limits)
    yield from _shared_keys(holders)


def _hidden_routes(
    routes: tuple[desired_state.Route, ...], places: tuple[str, ...]
) -> Iterator[Finding]:
    """Finds routes that :class:`route_table.RouteTable` never returns."""
    place_by_match: dict[tuple[str, str], str] = {}
    for route, place in zip(routes, places, strict=True):
        host = route.host.lower()
        match = (host, route.prefix)
        if match in place_by_match:
            earlier_place = place_by_match[match]
            message = (
                f'never matches: {earlier_place} has the same host and prefix'
            )
            yield Finding(place, message)
            continue
        place_by_match[match] = place
        if host != host.strip().partition(':')[0]:
            message = f'never matches: host {route.host!r} has a port or space'
            yield Finding(place, message)
        if not route.prefix.startswith('/'):
            message = f'never matches: prefix {route.prefix!r} lacks its slash'
            yield Finding(place, message)


def _service_findings(
    state: desired_state.DesiredState, route: desired_state.Route, place: str
) -> Iterator[Finding]:
    served = 0
    for each in route.services:
        if each.service not in state.service_by_name:
            yield Finding(place, f'service {each.service!r} does not exist')
        elif each.weight <= 0:
            message = f'service {each.service!r} has no weight, gets nothing'
            yield Finding(place, message)
        else:
            served += 1
    if not served:
        yield Finding(place, 'no service takes its requests: all are refused')


def _contradictions(
    route: desired_state.Route, place: str
) -> Iterator[Finding]:
    if route.timeout_s < route.objective_s:
        message = (
            f'time limit {route.timeout_s:g} s is below the objective '
            f'{route.objective_s:g} s'
        )
        yield Finding(place, message)
    is_stream = route.kind is desired_state.RequestKind.STREAM
    if is_stream and route.gap_s > route.timeout_s:
        message = (
            f'pause of {route.gap_s:g} s is longer than the time limit '
            f'{route.timeout_s:g} s'
        )
        yield Finding(place, message)
    if route.max_attempts > 1 and not route.is_idempotent:
        message = (
            f'{route.max_attempts} attempts, but its requests may not be '
            'repeated: they are sent once'
        )
        yield Finding(place, message)


def _unused_services(
    state: desired_state.DesiredState, places: SourcePlaces
) -> Iterator[Finding]:
    used = {
        each.service
        for route in state.routes
        for each in route.services
        if each.weight > 0
    }
    for name, place in places.place_by_service.items():
        if name not in used:
            yield Finding(place, 'no route sends anything here', False)


def _limit_findings(
    limits: desired_state.Limits, place: str
) -> Iterator[Finding]:
    if limits.header_bytes > limits.body_bytes:
        message = (
            f'header limit {limits.header_bytes} bytes is above the body '
            f'limit {limits.body_bytes}'
        )
        yield Finding(place, message)


def _shared_keys(holders: tuple[KeyHolder, ...]) -> Iterator[Finding]:
    """Finds keys of two organisations; the keys are never shown."""
    holder_by_key: dict[str, KeyHolder] = {}
    for holder in holders:
        for key in holder.keys:
            other = holder_by_key.setdefault(key, holder)
            if other is not holder:
                message = (
                    f'{holder.organisation!r} has a key of '
                    f'{other.organisation!r} ({other.place}): the last counts'
                )
                yield Finding(holder.place, message)
