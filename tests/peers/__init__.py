"""Tests of the messages between daemons."""
