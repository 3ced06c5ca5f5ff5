"""Forwarding: a request goes to a server once, and again only if that is safe."""
