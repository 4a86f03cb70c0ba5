"""Sockets, timers and gRPC that run the effects which the core decides on."""
