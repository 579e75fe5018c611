"""Tests of kumquatridge.platform."""
