"""The front end: the HTTP/1.1 protocol for client connections, and their listening socket."""
