"""Reads whole numbers that other parties write as decimal digits."""

# Python converts so many digits whatever its limit on long numbers is set to.
MAX_DIGITS = 640


def read(text: str) -> int | None:
    """Returns a number; ``None`` for anything but a few ASCII digits."""
    if not (text.isascii() and text.isdigit()):
        return None
    return int(text) if len(text) <= MAX_DIGITS else None
