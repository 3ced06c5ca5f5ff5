"""Limits that backend servers name for all VMs together."""
