"""Stand-ins for callers, upstreams and the platform, and a baseline balancer for comparison."""
