"""Tests of kumquatridge.daemon."""
