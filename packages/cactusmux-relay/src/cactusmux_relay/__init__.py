"""Relays opaque requests to services and to models split over targets."""
