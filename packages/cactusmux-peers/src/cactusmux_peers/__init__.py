"""Membership and soft-state exchange between instances."""
