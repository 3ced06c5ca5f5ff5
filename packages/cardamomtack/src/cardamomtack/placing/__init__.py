"""Placing: which backend server a request goes to, and when it is refused."""
