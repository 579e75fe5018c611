"""Non-idempotent calls with a request key run at most once."""
