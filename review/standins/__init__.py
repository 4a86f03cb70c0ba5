"""Stand-ins of the platform, its callers and its upstreams, for the cases of the review."""
