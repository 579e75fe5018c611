"""Small stand-ins for what lies outside the system: workers, platform."""
