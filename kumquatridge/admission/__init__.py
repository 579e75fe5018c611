"""Which calls an instance runs now, later, or not at all."""
