"""Quarantine of calls that crash the worker that runs them."""
