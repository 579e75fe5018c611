"""Tests of the scenario simulation."""
