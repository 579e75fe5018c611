"""The tree of settings by which operators drive the system."""
