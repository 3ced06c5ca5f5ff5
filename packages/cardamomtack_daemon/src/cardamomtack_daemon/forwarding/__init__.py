"""Forwarding: requests sent once to a backend server, and again only when it is safe."""
