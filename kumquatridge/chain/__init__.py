"""State and limits of a chain: a root request and the calls it causes."""
