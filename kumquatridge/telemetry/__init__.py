"""Metrics, numbered log events and the record of recent decisions."""
