"""Memory that the objects of a connection take, beside the bytes in them."""

# A connection and its task.
CONNECTION_BYTES = 8 * 1024
# A request in progress, with its call and the contexts of its path.
REQUEST_BYTES = 16 * 1024
# A header line: its name and value, as bytes or as text.
HEADER_LINE_BYTES = 250
# Received bytes that the kernel keeps for a connection while reading is paused.
PAUSED_BYTES = 64 * 1024
