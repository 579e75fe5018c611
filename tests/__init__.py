"""Tests of kumquatridge, laid out like the modules of the package."""
