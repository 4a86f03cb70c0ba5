"""Checks the invariants of a soak or demo run by what callers, upstreams and logs show."""

from __future__ import annotations

import re
from collections import Counter
from typing import NamedTuple

from bench.steering.fleet import Fleet
from bench.steering.upstream import PacketUpstream


class Violation(NamedTuple):
    """The name of a violated invariant, and the details."""

    invariant: str
    detail: str


class InvariantChecker:
    """Collects violations and counts outcomes; unique bodies identify the requests."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.outcomes: Counter[str] = Counter()

    def record_violation(self, invariant: str, detail: str) -> None:
        """Record a violation."""
        self.violations.append(Violation(invariant, detail))

    def check_response(self, body: bytes, response: bytes, expected: str) -> None:
        """Check that a response is complete and comes from this request and the flow's upstream."""
        name, _, echoed = response.partition(b":")
        if echoed != body:
            self.record_violation("answer_of_another_request", f"{body!r} got {response!r}")
        if expected and name.decode() != expected:
            self.record_violation("flow_changed_upstream", f"{expected} then {name!r}")

    def check_fleet(self, fleet: Fleet) -> None:
        """Check that all hosts still run, their logs, and the requests that upstreams ran."""
        for host in fleet.hosts:
            if not host.is_running:
                self.record_violation("ended_by_itself", host.plan.name)
            self.check_log(host.plan.name, host.log_text)
        self.check_upstreams(list(fleet.upstreams.values()))

    def check_upstreams(self, upstreams: list[PacketUpstream]) -> None:
        """Check that no request ran twice, on one upstream or on several."""
        runs: Counter[bytes] = Counter()
        for upstream in upstreams:
            runs.update(upstream.received)
        for body, times in runs.items():
            if times > 1:
                self.record_violation("ran_twice", f"{body!r} {times} times")

    def check_log(self, host: str, text: str) -> None:
        """Check that configuration versions increase within a start and no error is logged."""
        version = 0
        for line in text.splitlines():
            if "event=host_started" in line:
                version = 0
            match = re.search(r"event=routes_in_force .*?version=(\d+)", line)
            if match is None:
                continue
            if int(match[1]) <= version:
                self.record_violation(
                    "configuration_reverted", f"{host}: {version} then {match[1]}"
                )
            version = int(match[1])
        if "event=unhandled_error" in text or "Traceback" in text:
            self.record_violation("unhandled_error", host)
