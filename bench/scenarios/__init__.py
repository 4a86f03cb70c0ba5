"""Scenarios on real processes: their world, load and faults, and the judgement from outside."""
