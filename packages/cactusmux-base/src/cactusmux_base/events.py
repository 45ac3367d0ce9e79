"""Structured logging with one key=value line per event."""

import json
import re

from absl import logging

# A caller chooses the id of its request, so its length is limited here.
MAX_ID_CHARACTERS = 128
_PLAIN_VALUE = re.compile(r'[A-Za-z0-9_.:/@+-]+\Z')


def format_value(value: object) -> str:
    """Formats a value, quoted if it could break the line or add a key."""
    text = str(value)
    if _PLAIN_VALUE.match(text):
        return text
    return json.dumps(text)


def format_event(event: str, **value_by_key: object) -> str:
    """Formats an event and its fields as a single line.

    Of the field ``id`` only the first :data:`MAX_ID_CHARACTERS` are kept.
    """
    fields = [f'event={format_value(event)}']
    for key, value in value_by_key.items():
        kept = str(value)[:MAX_ID_CHARACTERS] if key == 'id' else value
        fields.append(f'{key}={format_value(kept)}')
    return ' '.join(fields)


def info(event: str, **value_by_key: object) -> None:
    """Logs an event that requires no action."""
    logging.info('%s', format_event(event, **value_by_key))


def warning(event: str, **value_by_key: object) -> None:
    """Logs an event that an operator may want to investigate."""
    logging.warning('%s', format_event(event, **value_by_key))


def error(event: str, **value_by_key: object) -> None:
    """Logs an event that requires action by an operator."""
    logging.error('%s', format_event(event, **value_by_key))
