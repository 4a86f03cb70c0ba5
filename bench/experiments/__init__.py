"""Seeded experiments on the policies of the core, without sockets or clocks."""
