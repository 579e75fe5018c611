"""Real daemons under disruptions that come in series and overlap."""
