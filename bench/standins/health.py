"""The health endpoint of an upstream, which may lag or mislead."""

from __future__ import annotations

import json
from collections import deque
from typing import NamedTuple

SAMPLES_KEPT = 50


class HealthFault(NamedTuple):
    """How the endpoint misleads: ``load`` and ``state`` replace the truth."""

    load: float | None = None
    state: str | None = None
    lag_s: float = 0.0


class HealthSample(NamedTuple):
    """The truth at one moment."""

    at: float
    state: str
    load: float


class HealthEndpoint:
    """Renders the health document from samples of the truth.

    >>> endpoint = HealthEndpoint()
    >>> endpoint.add(HealthSample(1.0, "cold", 0.5))
    >>> endpoint.fault = HealthFault(state="warm")
    >>> endpoint.render("boot-1")
    b'{"boot": "boot-1", "state": "warm", "load": 0.5}'
    """

    def __init__(self) -> None:
        self._samples: deque[HealthSample] = deque(maxlen=SAMPLES_KEPT)
        self._fault = HealthFault()

    @property
    def fault(self) -> HealthFault:
        """How the endpoint misleads at present."""
        return self._fault

    @fault.setter
    def fault(self, fault: HealthFault) -> None:
        self._fault = fault

    def add(self, sample: HealthSample) -> None:
        """Remember the truth at a moment."""
        self._samples.append(sample)

    def render(self, boot: str) -> bytes:
        """Return the document; at least one sample must have been added."""
        shown_at = self._samples[-1].at - self._fault.lag_s
        sample = next(one for one in self._samples if one.at >= shown_at)
        document = {
            "boot": boot,
            "state": self._fault.state or sample.state,
            "load": sample.load if self._fault.load is None else self._fault.load,
        }
        return json.dumps(document).encode()
