"""Workspaces of callers: their keys, priorities and quotas."""
