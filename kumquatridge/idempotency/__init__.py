"""At-most-once execution of non-idempotent calls with an idempotency key."""
