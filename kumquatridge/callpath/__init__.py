"""The way of a call: outbound to an instance, inbound to its worker."""
