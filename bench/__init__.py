"""Test bench: simulated peers, load, scenarios and measurements, outside the package."""
