"""The daemon for the users' platform, and the client of its object API.

This daemon serves the same kinds of calls as `kumquatridge.daemon`, but its
settings, headers and worker reports are those of the platform. It sends calls
to other daemons in binary frames, and has no idempotency keys.
"""
