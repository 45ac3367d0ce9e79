"""Strict parsing of JSON text, and paths into it."""

import collections
from collections.abc import Iterator
import json
import math
import re
from typing import Any, NamedTuple

ROOT = '$'
MAX_DEPTH = 32

_PLAIN_KEY = re.compile(r'[A-Za-z0-9_-]+\Z')

Location = tuple[int | str, ...]


class Fault(NamedTuple):
    """An error at a path such as ``$.pool.share``."""

    path: str
    message: str


class _Object(dict[str, Any]):
    """A JSON object that records duplicate keys.

    Lone surrogates in keys, which can't be printed, become question marks.
    """

    def __init__(self, pairs: list[tuple[str, Any]]) -> None:
        named = [
            (key.encode(errors='replace').decode(), value)
            for key, value in pairs
        ]
        super().__init__(named)
        count_by_key = collections.Counter(key for key, _ in named)
        self.duplicates = sorted(k for k, n in count_by_key.items() if n > 1)


def parse(text: bytes) -> Any:
    """Returns the parsed text, or the :class:`Fault` that prevents it."""
    try:
        return json.loads(text.decode(), object_pairs_hook=_Object)
    except UnicodeDecodeError as error:
        return Fault(ROOT, f'not UTF-8 at byte {error.start}')
    except json.JSONDecodeError as error:
        where = f'line {error.lineno} column {error.colno}'
        return Fault(ROOT, f'not JSON at {where}: {error.msg}')
    except (RecursionError, ValueError):
        return Fault(ROOT, 'nested too deep or a number too long')


def find_faults(parsed: Any, location: Location = ()) -> Iterator[Fault]:
    """Yields duplicate keys, non-finite numbers and excessive nesting."""
    if len(location) > MAX_DEPTH:
        yield Fault(format_path(location[:4]), 'nested too deep')
        return
    if isinstance(parsed, float) and not math.isfinite(parsed):
        yield Fault(format_path(location), 'not a finite number')
    if isinstance(parsed, _Object):
        for key in parsed.duplicates:
            yield Fault(format_path((*location, key)), 'duplicate key')
        for key, value in parsed.items():
            yield from find_faults(value, (*location, key))
    if isinstance(parsed, list):
        for index, value in enumerate(parsed):
            yield from find_faults(value, (*location, index))


def format_path(location: Location) -> str:
    """Formats keys and indexes as a path; quotes keys where needed."""
    path = ROOT
    for step in location:
        if isinstance(step, int):
            path += f'[{step}]'
        elif _PLAIN_KEY.match(step):
            path += f'.{step}'
        else:
            path += f'[{json.dumps(step)}]'
    return path
