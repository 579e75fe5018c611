"""Stand-ins for external systems: workers and the platform."""
