"""The path of a call from the caller through the daemons to the worker."""
