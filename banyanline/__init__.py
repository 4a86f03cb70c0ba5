"""Banyanline, a layer-4 load balancer whose many hosts act as one."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
