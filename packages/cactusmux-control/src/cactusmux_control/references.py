"""Cross-field checks of a service document.

They accept parsed JSON of any shape and skip values of the wrong type, which
the schema reports.
"""

from collections.abc import Iterator
from typing import Any

from . import json_text


def find_faults(parsed: Any) -> Iterator[json_text.Fault]:
    """Yields every inconsistency between fields."""
    yield from _pool_faults(_object(parsed, 'pool'))
    names_by_field = {
        'model': _object(parsed, 'model_by_name'),
        'plain_service': _object(parsed, 'plain_service_by_name'),
    }
    for name, kind in _object(parsed, 'kind_by_name').items():
        yield from _kind_faults(name, kind, names_by_field)
    for name in _object(parsed, 'model_by_name'):
        model = _object(_object(parsed, 'model_by_name'), name)
        location = ('model_by_name', name, 'adapters')
        yield from _duplicate_faults(model.get('adapters'), location)
    if isinstance(parsed, dict):
        ignored_by = parsed.get('fencing_ignored_by')
        yield from _duplicate_faults(ignored_by, ('fencing_ignored_by',))


def _pool_faults(pool: dict[str, Any]) -> Iterator[json_text.Fault]:
    share = pool.get('share')
    floor = pool.get('floor', 0.0)
    if not _is_number(share) or not _is_number(floor):
        return
    if floor > share:
        message = f'floor {floor} is more than share {share}'
        yield json_text.Fault('$.pool.floor', message)


def _kind_faults(
    name: str, kind: Any, names_by_field: dict[str, dict[str, Any]]
) -> Iterator[json_text.Fault]:
    if not isinstance(kind, dict):
        return
    fields = [field for field in names_by_field if field in kind]
    if len(fields) != 1:
        path = json_text.format_path(('kind_by_name', name))
        message = 'exactly one of model and plain_service is required'
        yield json_text.Fault(path, message)
    for field in fields:
        target = kind[field]
        if isinstance(target, str) and target not in names_by_field[field]:
            path = json_text.format_path(('kind_by_name', name, field))
            yield json_text.Fault(path, f'{field} {target!a} does not exist')


def _duplicate_faults(
    names: Any, location: json_text.Location
) -> Iterator[json_text.Fault]:
    if not isinstance(names, list):
        return
    seen: set[str] = set()
    for index, name in enumerate(names):
        if not isinstance(name, str):
            continue
        if name in seen:
            path = json_text.format_path((*location, index))
            yield json_text.Fault(path, f'{name!a} stands twice')
        seen.add(name)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _object(parsed: Any, key: str) -> dict[str, Any]:
    found = parsed.get(key) if isinstance(parsed, dict) else None
    return found if isinstance(found, dict) else {}
