"""Steering of callers' packets by what the packets themselves carry; no I/O, no clock."""
