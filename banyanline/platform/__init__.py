"""Readers of the platform's configuration service."""
