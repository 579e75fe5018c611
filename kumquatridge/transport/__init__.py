"""HTTP/1.1 connections that tell exactly what was sent and what came back.

The listener and the client know no header of any front end: names are chosen
by whoever uses them.
"""
