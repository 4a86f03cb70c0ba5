"""HTTP client and UDP sockets, used by the platform adapter and by the servers."""
