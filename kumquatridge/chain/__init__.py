"""State and limits that all calls of one root request share."""
