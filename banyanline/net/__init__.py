"""Runtime of the balancer: executes the effects of the core with sockets, timers and gRPC."""
