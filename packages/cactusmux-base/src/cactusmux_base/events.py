"""Structured logs: one key=value line for each event."""

import json
import re

from absl import logging

_PLAIN_VALUE = re.compile(r'[A-Za-z0-9_.:/@+-]+\Z')


def format_value(value: object) -> str:
    """Formats a value so that it cannot end its line or start a key."""
    text = str(value)
    if _PLAIN_VALUE.match(text):
        return text
    return json.dumps(text)


def format_event(event: str, **value_by_key: object) -> str:
    """Formats an event and its fields as one line."""
    fields = [f'event={format_value(event)}']
    for key, value in value_by_key.items():
        fields.append(f'{key}={format_value(value)}')
    return ' '.join(fields)


def info(event: str, **value_by_key: object) -> None:
    """Logs an event that needs no action."""
    logging.info('%s', format_event(event, **value_by_key))


def warning(event: str, **value_by_key: object) -> None:
    """Logs an event that an operator may want to look into."""
    logging.warning('%s', format_event(event, **value_by_key))


def error(event: str, **value_by_key: object) -> None:
    """Logs an event that needs an operator."""
    logging.error('%s', format_event(event, **value_by_key))
