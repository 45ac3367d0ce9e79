"""Model of the served engines, and experiments on it."""
