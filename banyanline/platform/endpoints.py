"""Ports and paths of the HTTP pages that the platform requests from each host."""

from __future__ import annotations

READY_TARGET = "/readiness"
"""Returns 200 if the host should receive packets, else 503."""

METRICS_PORT = 9102
METRICS_TARGET = "/metrics"
"""Port and path of the metrics page; ``deploy/system.toml`` gives both to the platform."""
