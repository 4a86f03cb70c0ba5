"""Stand-ins for the operators' platform: its store, upstreams and callers of packet flows."""
