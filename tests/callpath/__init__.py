"""Tests of kumquatridge.callpath."""
