"""Discovery: which backend servers there are, by what they say of themselves."""
