"""State and health checks of the worker that runs beside a daemon."""
