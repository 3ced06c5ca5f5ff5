"""Tests of replicas."""
