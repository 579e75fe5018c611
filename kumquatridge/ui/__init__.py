"""The command-line tool; the library doesn't depend on it."""
