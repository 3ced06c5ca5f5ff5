"""Adapters to the services of the platform; their HTTP client is passed in."""
