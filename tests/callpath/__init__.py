"""Tests of `kumquatridge.callpath`."""
