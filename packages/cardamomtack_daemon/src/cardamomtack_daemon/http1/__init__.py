"""HTTP/1.1 over streams, with the codec of httptools."""
