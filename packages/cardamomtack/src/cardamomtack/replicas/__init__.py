"""Replicas: what the VMs know of the topics of the platform's store, and from whom."""
