"""The vocabulary every other aggregate shares: calls, outcomes, refusals."""
