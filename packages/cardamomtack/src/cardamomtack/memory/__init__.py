"""What a VM may hold for callers, servers and tunnels."""
