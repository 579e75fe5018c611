"""Tests of kumquatridge.operators."""
