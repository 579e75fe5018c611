"""HTTP/1.1 and framed connections that report exactly how an exchange ended.

Errors distinguish whether bytes were sent and whether an answer was complete.
The listener and the client interpret no headers of a front end; the code that
uses them chooses the header names.
"""
