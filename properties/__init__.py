"""Property-based tests with hypothesis."""
