"""Tests of kumquatridge.http."""
