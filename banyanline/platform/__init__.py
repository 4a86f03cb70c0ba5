"""Decodes the platform's settings, stores and packets into typed values."""
