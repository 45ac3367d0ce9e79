"""Route choice, admission, fair share, retries and circuit breaking."""
