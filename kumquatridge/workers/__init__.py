"""The worker beside a daemon: what is believed of it and how it is checked."""
