"""The owner role: all traffic to an upstream goes through the balancer that owns it."""

from banyanline.core.owner.owner import Owner

__all__ = ["Owner"]
