"""Tests of kumquatridge.demo."""
