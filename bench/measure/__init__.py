"""Measurements of what balancers cost, as slopes between sizes."""
