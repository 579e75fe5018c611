"""Commands that measure the figures in the documentation."""
