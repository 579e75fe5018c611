"""Which instance of a service takes a call."""
