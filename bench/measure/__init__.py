"""Benchmarks of the balancer's resource use, as slopes over the size of the workload."""
