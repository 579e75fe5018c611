"""The daemon: one sidecar process per upstream instance."""
