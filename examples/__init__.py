"""Configurations that operators can start from."""
