"""The path of a request from its caller to a backend server and back."""
