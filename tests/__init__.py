"""Tests; they mirror the modules of the package."""
