"""Balancing: which backend server a request goes to."""
