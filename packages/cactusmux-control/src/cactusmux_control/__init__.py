"""Documents in force, leases, fencing, claims, placement and orders."""
