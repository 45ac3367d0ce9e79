"""Command line, settings and wiring of the router."""
