"""Example configurations that operators can use as a starting point."""
