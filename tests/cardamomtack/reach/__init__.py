"""Tests of the ways to servers, and of those who help."""
