"""HTTP/1.1 and framed connections that report exactly how an exchange ended.

Errors distinguish whether bytes were sent and whether an answer was complete.
The listeners and clients interpret standard HTTP headers only; the code that
uses them chooses the names of all others.
"""
