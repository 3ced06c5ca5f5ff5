"""Tests of cardamomtack_platform."""
