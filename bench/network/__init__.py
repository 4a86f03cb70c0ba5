"""Addresses and the network of a run: the fabric, faulty links, the relay between balancers."""
