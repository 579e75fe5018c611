"""Membership of daemons: failure detection and gossip, based on SWIM."""
