"""The home of a flow: the one balancer that makes all decisions for it."""

from banyanline.core.home.home import Home

__all__ = ["Home"]
