"""The owner of upstreams: the one place that sends to them."""

from banyanline.core.owner.owner import Owner

__all__ = ["Owner"]
