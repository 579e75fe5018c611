"""The platform's object API and what the system keeps there."""
