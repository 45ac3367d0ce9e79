"""Identifiers that are unique across instances and restarts."""

import os
import uuid


def new_id() -> str:
    """Returns a random identifier of 32 hexadecimal digits."""
    return uuid.UUID(bytes=os.urandom(16), version=4).hex
