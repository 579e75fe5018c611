"""Tests of kumquatridge.routing."""
