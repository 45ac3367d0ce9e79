"""An end-to-end demonstration with real processes on loopback."""
