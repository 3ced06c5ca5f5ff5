"""Routing: which service, and which of its parts, a request goes to."""
