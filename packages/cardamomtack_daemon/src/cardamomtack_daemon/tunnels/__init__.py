"""Connections to backend servers through another VM."""
