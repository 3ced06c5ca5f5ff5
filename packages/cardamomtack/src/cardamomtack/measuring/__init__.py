"""Measuring: what probes and reports may cost."""
