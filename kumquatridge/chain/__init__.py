"""What all calls that serve one root request share."""
