"""Tasks of the daemon; each owns its connection and its state."""
