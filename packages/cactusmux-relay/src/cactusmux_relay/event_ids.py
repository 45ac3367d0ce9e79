"""Ids of stream events, kept exactly as their sender wrote them."""

import re
from typing import NamedTuple

MAX_LOGGED_CHARACTERS = 64
# What a header field can carry unchanged: neither control characters nor
# white space at its ends.
_HEADER_TEXT = re.compile(
    rb'[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?'
)


class EventId(NamedTuple):
    """The id of one event.

    It identifies the event to its sender and is sent on unchanged, so it is
    no number of ours. Ids increase within a stream; those that consist of
    decimal digits are compared by their value, whatever their length.

    :ivar text: as in the header field or event, without surrounding white
        space.
    """

    text: str

    def is_after(self, earlier: 'EventId') -> bool:
        """Whether this id comes after another one of the same stream.

        Without decimal digits only equal ids are known not to.
        """
        if not (self._is_decimal and earlier._is_decimal):
            return self.text != earlier.text
        return self._sort_key() > earlier._sort_key()

    def directly_follows(self, earlier: 'EventId') -> bool:
        """Whether no decimal id fits between another one and this one."""
        if not (self._is_decimal and earlier._is_decimal):
            return False
        return self.text.lstrip('0') == _successor(earlier.text.lstrip('0'))

    @property
    def logged(self) -> str:
        """The id for a log line; the end of a long one is left out."""
        return self.text[:MAX_LOGGED_CHARACTERS]

    @property
    def _is_decimal(self) -> bool:
        return self.text.isascii() and self.text.isdigit()

    def _sort_key(self) -> tuple[int, str]:
        digits = self.text.lstrip('0')
        return len(digits), digits


def read(raw: bytes) -> EventId | None:
    """Returns an id; ``None`` if it is empty or fits into no header field."""
    text = raw.strip(b' \t')
    if not _HEADER_TEXT.fullmatch(text):
        return None
    return EventId(text.decode('latin-1'))


def logged(event_id: EventId | None) -> str | None:
    """Returns an id for a log line, ``None`` without one."""
    return None if event_id is None else event_id.logged


def _successor(digits: str) -> str:
    """Returns the next decimal number; ``digits`` has no leading zeros."""
    head = digits.rstrip('9')
    nines = len(digits) - len(head)
    if not head:
        return '1' + '0' * nines
    return f'{head[:-1]}{int(head[-1]) + 1}' + '0' * nines
