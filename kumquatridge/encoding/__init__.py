"""Codecs of settings, calls and outcomes."""
