"""Differences between two versions of a configuration, compared as trees.

A tree consists of nested mappings by name. An entry that only one of the
trees contains counts as one difference, not as one for each of its fields.
"""

from collections.abc import Callable, Iterator, Mapping
import hashlib
from typing import Any

from cactusmux_control import json_text

from . import configuration_check
from . import desired_state

# Enough to distinguish keys, while a key can't be recovered from its digest.
DIGEST_BYTES = 4
ROUTES = 'routes'
SERVICES = 'services'
ORGANISATIONS = 'organisations'
KEYS = 'keys'
UNKNOWN_EFFECT = 'no direct effect on callers'
# Keys are section and field; the field is empty for a whole entry.
EFFECT_BY_FIELD = {
    (ROUTES, ''): 'requests under its host and prefix are routed otherwise',
    (ROUTES, 'host'): 'requests to these hosts are routed otherwise',
    (ROUTES, 'prefix'): 'requests under these prefixes are routed otherwise',
    (ROUTES, 'kind'): 'what may be repeated of its requests',
    (ROUTES, 'services'): 'which services its requests reach, in what parts',
    (ROUTES, 'timeout_s'): 'the longest time that callers are kept waiting',
    (ROUTES, 'objective_s'): 'the time to an answer that is aimed at',
    (ROUTES, 'gap_s'): 'the pause in streams up to which paths are chosen',
    (ROUTES, 'urgency'): 'who is served first where room is short',
    (ROUTES, 'max_attempts'): 'how many targets a request may be sent to',
    (ROUTES, 'is_open'): 'whether requests need a key',
    (ROUTES, 'can_resume'): 'whether broken streams go on elsewhere',
    (SERVICES, ''): 'requests of routes to it are served, or refused',
    (SERVICES, 'engine'): 'which paths are chosen, and what has room',
    (SERVICES, 'health_path'): 'which targets get requests',
    (SERVICES, 'connection_limit'): 'how many requests a target gets at once',
    (ORGANISATIONS, ''): 'requests with its keys are taken, or get 401',
    (ORGANISATIONS, KEYS): 'requests with this key are taken, or get 401',
    (ORGANISATIONS, 'urgency'): 'who is served first where room is short',
    ('limits', 'header_bytes'): 'the longest headers that are taken',
    ('limits', 'body_bytes'): 'the longest bodies that are taken',
    ('limits', 'header_timeout_s'): 'how long slow callers are waited for',
    ('limits', 'idle_timeout_s'): 'how long idle connections are kept',
    ('needs_keys', ''): 'whether requests without a known key are refused',
}

Effect = Callable[[tuple[str, ...]], str]


def compare(
    before: Mapping[str, Any], after: Mapping[str, Any], effect: Effect
) -> list[configuration_check.Change]:
    """Returns all differences, sorted by place."""
    return sorted(
        _compare(before, after, (), effect), key=lambda each: each.place
    )


def _compare(
    before: Any, after: Any, steps: tuple[str, ...], effect: Effect
) -> Iterator[configuration_check.Change]:
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for name in {**before, **after}:
            yield from _compare(
                before.get(name), after.get(name), (*steps, name), effect
            )
    elif before != after:
        place = json_text.format_path(steps)
        yield configuration_check.Change(place, before, after, effect(steps))


def effect_on_callers(steps: tuple[str, ...]) -> str:
    """Returns the effect on callers of a change in a desired state's tree."""
    field = steps[2] if len(steps) > 2 else ''
    return EFFECT_BY_FIELD.get((steps[0], field), UNKNOWN_EFFECT)


def to_tree(
    state: desired_state.DesiredState,
    holders: tuple[configuration_check.KeyHolder, ...],
) -> dict[str, Any]:
    """Converts a desired state to a tree; keys are replaced by digests."""
    return {
        ROUTES: {each.name: _route_tree(each) for each in state.routes},
        SERVICES: {
            name: to_plain_data(service)
            for name, service in state.service_by_name.items()
        },
        ORGANISATIONS: {
            each.organisation: _holder_tree(state, each) for each in holders
        },
        'limits': to_plain_data(state.limits),
        'needs_keys': state.needs_keys,
    }


def to_plain_data(value: Any) -> Any:
    """Converts named tuples to mappings and tuples to lists, recursively."""
    if isinstance(value, tuple) and hasattr(value, '_asdict'):
        return {
            name: to_plain_data(each) for name, each in value._asdict().items()
        }
    if isinstance(value, Mapping):
        return {name: to_plain_data(each) for name, each in value.items()}
    if isinstance(value, tuple):
        return [to_plain_data(each) for each in value]
    return value


def _route_tree(route: desired_state.Route) -> dict[str, Any]:
    weights = {each.service: each.weight for each in route.services}
    fields = route._replace(services=())._asdict()
    return {**fields, 'kind': str(route.kind), 'services': weights}


def _holder_tree(
    state: desired_state.DesiredState, holder: configuration_check.KeyHolder
) -> dict[str, Any]:
    known = [
        state.organisation_by_key[key].urgency
        for key in holder.keys
        if state.organisation_by_key[key].name == holder.organisation
    ]
    digests = {_digest(key): 'taken' for key in holder.keys}
    return {'urgency': known[0] if known else None, KEYS: digests}


def _digest(key: str) -> str:
    made = hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES)
    return made.hexdigest()
