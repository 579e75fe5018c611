"""The demo: a small deployment in one process is overloaded and recovers."""
