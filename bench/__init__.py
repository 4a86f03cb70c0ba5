"""Stand-ins, load and experiments that run outside the package."""
