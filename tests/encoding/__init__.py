"""Tests of kumquatridge.encoding."""
