"""The home of a flow: the one place that decides for it."""

from banyanline.core.home.home import Home

__all__ = ["Home"]
