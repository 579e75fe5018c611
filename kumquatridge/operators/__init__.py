"""The HTTP API for worker announcements and operators."""
