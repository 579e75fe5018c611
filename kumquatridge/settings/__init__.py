"""The tree of settings with which operators configure the system."""
