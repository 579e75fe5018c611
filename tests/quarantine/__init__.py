"""Tests of `kumquatridge.quarantine`."""
