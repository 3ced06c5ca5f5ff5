"""Admission: limits, waiting and the budget of extra attempts."""
