"""Scenarios on real processes: environment, load, fault injection and evaluation of the results."""
