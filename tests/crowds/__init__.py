"""Clients that do not behave, against daemons as processes."""
