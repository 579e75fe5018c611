"""The command-line tool; the library works without it."""
