"""Tests of kumquatridge.ui."""
