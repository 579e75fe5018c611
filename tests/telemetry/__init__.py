"""Tests of kumquatridge.telemetry."""
