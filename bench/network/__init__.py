"""Addresses and network of a run: fabric, links with faults, relay between balancers."""
