"""How servers are reached: over own connections, or through another VM."""
