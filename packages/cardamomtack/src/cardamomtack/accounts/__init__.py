"""Accounts: what the fleet did, counted by kind."""
