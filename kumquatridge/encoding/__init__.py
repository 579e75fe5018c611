"""Codecs of settings, and of calls and outcomes between daemons."""
