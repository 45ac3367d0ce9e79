"""Small stand-ins for the platform and the targets; not part of the binary."""
