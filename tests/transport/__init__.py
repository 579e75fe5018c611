"""Tests of kumquatridge.transport."""
