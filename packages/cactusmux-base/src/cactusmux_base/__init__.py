"""Timers, identifiers, metrics, key=value logging and failures."""
