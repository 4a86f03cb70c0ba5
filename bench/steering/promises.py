"""What the soak checks while it runs, from what callers and upstreams see."""

from __future__ import annotations

import re
from collections import Counter
from typing import NamedTuple

from bench.steering.fleet import Fleet
from bench.steering.upstream import PacketUpstream


class Violation(NamedTuple):
    """A promise that was broken, and how."""

    promise: str
    detail: str


class Promises:
    """Collects violations; requests are told apart by their bodies, which are unique."""

    def __init__(self) -> None:
        self.violations: list[Violation] = []
        self.outcomes: Counter[str] = Counter()

    def break_(self, promise: str, detail: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(promise, detail))

    def check_answer(self, body: bytes, answer: bytes, expected: str) -> None:
        """Check that an answer is whole, of its own request, and of the flow's upstream."""
        name, _, echoed = answer.partition(b":")
        if echoed != body:
            self.break_("answer_of_another_request", f"{body!r} got {answer!r}")
        if expected and name.decode() != expected:
            self.break_("flow_changed_upstream", f"{expected} then {name!r}")

    def check_fleet(self, fleet: Fleet) -> None:
        """Check what hosts logged and upstreams ran, and that all hosts still run."""
        for host in fleet.hosts:
            if not host.is_running:
                self.break_("ended_by_itself", host.plan.name)
            self.check_log(host.plan.name, host.log_text)
        self.check_upstreams(list(fleet.upstreams.values()))

    def check_upstreams(self, upstreams: list[PacketUpstream]) -> None:
        """Check that no upstream ran a request that another had run."""
        runs: Counter[bytes] = Counter()
        for upstream in upstreams:
            runs.update(upstream.received)
        for body, times in runs.items():
            if times > 1:
                self.break_("ran_twice", f"{body!r} {times} times")

    def check_log(self, host: str, text: str) -> None:
        """Check that versions of the configuration only grow within one start of a process."""
        version = 0
        for line in text.splitlines():
            if "event=host_started" in line:
                version = 0
            match = re.search(r"event=routes_in_force .*?version=(\d+)", line)
            if match is None:
                continue
            if int(match[1]) <= version:
                self.break_("configuration_reverted", f"{host}: {version} then {match[1]}")
            version = int(match[1])
        if "event=unhandled_error" in text or "Traceback" in text:
            self.break_("unhandled_error", host)
