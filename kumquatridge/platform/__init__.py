"""The daemon on the platform, and the client of its object API."""
