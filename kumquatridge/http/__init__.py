"""Calls over HTTP: from callers, between daemons, and to workers."""
