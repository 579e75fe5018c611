"""Outbound and inbound paths of a call between caller and worker."""
