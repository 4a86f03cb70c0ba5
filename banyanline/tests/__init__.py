"""Unit tests, with one test module per module of the package."""
