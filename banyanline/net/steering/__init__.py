"""The balancer process that steers packets on the operators' platform."""
