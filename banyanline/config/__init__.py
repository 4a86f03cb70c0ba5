"""The operators' library: services, upstreams, data centres and patience."""
