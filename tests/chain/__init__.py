"""Tests of `kumquatridge.chain`."""
