"""The HTTP client and UDP sockets: below the adapter of the platform and all that serves."""
