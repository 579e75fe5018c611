"""Tests of `kumquatridge.idempotency`."""
