"""Stand-ins, load, scenarios and measurements that run outside the package."""
