"""Tests of kumquatridge.admission."""
