"""HTTP surface, sessions, streams, plain calls and draining."""
