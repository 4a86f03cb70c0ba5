"""Decisions of a balancer, free of I/O: typed events in, typed effects out."""
