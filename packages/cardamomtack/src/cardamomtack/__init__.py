"""Decisions, messages and settings of the cardamomtack load balancer."""
