"""Commands that measure the figures given in docs."""
