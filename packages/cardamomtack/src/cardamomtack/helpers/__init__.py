"""Helpers shared by all areas."""
