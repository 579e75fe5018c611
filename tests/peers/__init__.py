"""Tests of kumquatridge.peers."""
