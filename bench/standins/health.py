"""The health endpoint of an upstream, which may report late or false values."""

from __future__ import annotations

import json
from collections import deque
from typing import NamedTuple

MAX_SAMPLES = 50


class HealthFault(NamedTuple):
    """False or late health reports: ``load`` and ``state`` replace the actual values if set."""

    load: float | None = None
    state: str | None = None
    lag_s: float = 0.0


class HealthSample(NamedTuple):
    """Actual state and load at a time of the monotonic clock."""

    at: float
    state: str
    load: float


class HealthEndpoint:
    """Renders the health document from samples of the actual state and load.

    >>> endpoint = HealthEndpoint()
    >>> endpoint.add(HealthSample(1.0, "cold", 0.5))
    >>> endpoint.fault = HealthFault(state="warm")
    >>> endpoint.render("boot-1")
    b'{"boot": "boot-1", "state": "warm", "load": 0.5}'
    """

    def __init__(self) -> None:
        self._samples: deque[HealthSample] = deque(maxlen=MAX_SAMPLES)
        self._fault = HealthFault()

    @property
    def fault(self) -> HealthFault:
        """The fault in force."""
        return self._fault

    @fault.setter
    def fault(self, fault: HealthFault) -> None:
        self._fault = fault

    def add(self, sample: HealthSample) -> None:
        """Add a sample; the oldest beyond MAX_SAMPLES is dropped."""
        self._samples.append(sample)

    def render(self, boot: str) -> bytes:
        """Return the document as JSON; at least one sample must have been added."""
        shown_at = self._samples[-1].at - self._fault.lag_s
        sample = next(sample for sample in self._samples if sample.at >= shown_at)
        document = {
            "boot": boot,
            "state": self._fault.state or sample.state,
            "load": sample.load if self._fault.load is None else self._fault.load,
        }
        return json.dumps(document).encode()
