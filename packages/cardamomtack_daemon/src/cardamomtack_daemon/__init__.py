"""The daemon of an entry VM."""
