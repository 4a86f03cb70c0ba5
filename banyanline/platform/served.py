"""The pages that the platform asks each host for."""

from __future__ import annotations

READY_TARGET = "/readiness"
"""Answered with 200 by a host that is to get packets, and with 503 by one that is not."""

METRICS_PORT = 9102
METRICS_TARGET = "/metrics"
"""The port and page of metrics; ``deploy/system.toml`` names both to the platform."""
