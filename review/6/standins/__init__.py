"""Small stand-ins for the platform, its targets, clients and routers, on loopback addresses."""
