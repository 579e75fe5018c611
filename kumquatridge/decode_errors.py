"""Errors of the decoders for bytes that other programs have written."""

import msgspec

# The decoders raise RecursionError for values that are nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
