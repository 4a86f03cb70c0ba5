"""Tests of the bench itself."""
