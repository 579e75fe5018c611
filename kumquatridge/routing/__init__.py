"""Load balancing: selects the instance that receives a call."""
