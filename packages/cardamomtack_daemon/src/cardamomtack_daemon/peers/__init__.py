"""Streams between the entry VMs."""
