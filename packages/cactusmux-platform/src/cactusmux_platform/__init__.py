"""Interfaces and clients of the platform and of the targets."""
