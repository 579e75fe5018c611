"""A small deployment in one process that is overloaded and recovers."""
