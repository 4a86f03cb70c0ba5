"""The page on which routers look whether a host is to get packets."""

from __future__ import annotations

READY_TARGET = "/readiness"
"""Answered with 200 by a host that is to get packets, and with 503 by one that is not."""
