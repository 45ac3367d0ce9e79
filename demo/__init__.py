"""A demonstration of the whole path with real processes on loopback."""
