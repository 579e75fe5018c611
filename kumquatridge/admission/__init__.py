"""Admission control: which calls an instance runs, queues or refuses."""
