"""Pure functions without state."""
