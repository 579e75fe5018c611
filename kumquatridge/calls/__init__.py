"""Types that all other packages share: calls, outcomes, refusals."""
