"""Tests of the tasks of quotas."""
