"""Pure decision code: who waits, who is refused, what is retried or moved."""
