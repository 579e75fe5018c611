"""Tests of membership: failure detection, gossip and first contact."""
