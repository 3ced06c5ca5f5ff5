"""Quotas of workspaces: asks for tokens, and grants them."""
