"""The daemon: one process beside each upstream instance."""
