"""Tests of kumquatridge.workers."""
