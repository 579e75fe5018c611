"""Calls that crash the worker which runs them."""
