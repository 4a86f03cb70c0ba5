"""Unit tests, one module for each module of the package."""
