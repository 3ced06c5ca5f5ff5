"""Tests of what a VM may hold."""
