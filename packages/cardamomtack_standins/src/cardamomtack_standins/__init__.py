"""Stand-ins of the platform and the backend servers, for tests, bench and demo."""
