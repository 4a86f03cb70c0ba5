"""Decision logic of a balancer, without I/O: typed events in, typed effects out."""
