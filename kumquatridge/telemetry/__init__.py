"""Counters, gauges and numbered log events."""
