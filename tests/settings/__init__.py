"""Tests of kumquatridge.settings."""
