"""Steers callers' packets to upstreams by the cookies that they carry; no I/O, no clock."""
