"""Soak test: randomised runs with increasing seeds for a number of minutes.

For each seed it injects random faults into cores on an in-memory message bus
(``properties.chaos``), then runs the scenario ``all-at-once`` on real processes.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import NamedTuple

from absl import app, flags

from bench.scenarios.catalog import SCENARIOS
from bench.scenarios.deployments import DEPLOYMENTS
from bench.scenarios.environment import NotReadyError
from bench.scenarios.execute import Job, run_job, write_output
from properties.chaos import Chaos

FLAGS = flags.FLAGS
PROCESS_RUN_S = 30.0
CORE_RUN_S = 60.0
"""Duration of one run on the message bus, in seconds of virtual time."""
CORE_EVENTS = ("crash", "restart", "pause", "leave", "partition", "configure")
SECONDS_PER_MINUTE = 60.0


class SoakTotals(NamedTuple):
    """Totals of all runs so far."""

    runs: int = 0
    failed: int = 0
    core_events: int = 0
    requests: int = 0

    def with_run(self, *, passed: bool, core_events: int = 0, requests: int = 0) -> SoakTotals:
        """Return the totals with one more run added."""
        return SoakTotals(
            self.runs + 1,
            self.failed + (not passed),
            self.core_events + core_events,
            self.requests + requests,
        )


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_float(
        "minutes", 5.0, "Time after which no new run starts, in minutes.", lower_bound=0.0
    )
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_string("directory", None, "Folder for the results.")
    flags.DEFINE_bool("processes", True, "Whether to run all-at-once on real processes too.")


def main(argv: list[str]) -> None:
    """Run until the time is over and exit with 1 if any run violated an invariant."""
    del argv
    ends_at = time.monotonic() + FLAGS.minutes * SECONDS_PER_MINUTE
    seed = FLAGS.seed
    totals = SoakTotals()
    while time.monotonic() < ends_at:
        totals = _run_core(seed, totals)
        names = list(DEPLOYMENTS) if FLAGS.processes else []
        for name in names:
            if time.monotonic() < ends_at:
                totals = _run_processes(name, seed, totals)
        seed += 1
    print(
        f"{totals.runs} runs, {totals.failed} with violations, {totals.core_events} faults on the"
        f" message bus, {totals.requests} requests on processes"
    )
    sys.exit(1 if totals.failed else 0)


def _run_core(seed: int, totals: SoakTotals) -> SoakTotals:
    """Run cores on the message bus; an invariant violated inside a core ends the soak test."""
    chaos = Chaos(seed, CORE_EVENTS)
    violations = chaos.run(CORE_RUN_S)
    outcomes = " ".join(f"{what}={count}" for what, count in chaos.outcomes().items())
    _print_result(f"core-{seed}", outcomes, [f"{one.what} {one.key}" for one in violations])
    return totals.with_run(passed=not violations, core_events=len(chaos.history))


def _run_processes(name: str, seed: int, totals: SoakTotals) -> SoakTotals:
    title = f"{name}-{seed}"
    try:
        output = run_job(Job(SCENARIOS["all-at-once"], DEPLOYMENTS[name], seed, PROCESS_RUN_S))
    except NotReadyError as error:
        _print_result(title, "", [f"not ready: {error}"])
        return totals.with_run(passed=False)
    if FLAGS.directory:
        write_output(output, Path(FLAGS.directory) / f"{title}.json")
    result = output.result
    text = (
        f"requests={result['requests']} within_patience={result['within_patience']}"
        f" unknown={result['outcome_unknown']} flows_broken={result['flows_broken']}"
    )
    _print_result(title, text, output.violations)
    return totals.with_run(passed=not output.violations, requests=result["requests"])


def _print_result(title: str, text: str, violations: list[str]) -> None:
    print(f"{title}: {text} violations: {', '.join(violations) or 'none'}", flush=True)


if __name__ == "__main__":
    define_flags()
    app.run(main)
