"""Long randomised runs, seed after seed, for a number of minutes.

Each round drives cores on an in-memory message bus through random faults
(``properties.chaos``) and then the scenario ``all-at-once`` on real processes.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import NamedTuple

from absl import app, flags

from bench.scenarios.catalog import SCENARIOS
from bench.scenarios.deployments import DEPLOYMENTS
from bench.scenarios.execute import Job, run_job, write_output
from bench.scenarios.world import NotReadyError
from properties.chaos import Chaos

FLAGS = flags.FLAGS
RUN_S = 30.0
CORE_RUN_S = 60.0
"""Virtual seconds of one run on the message bus."""
CORE_EVENTS = ("crash", "restart", "pause", "leave", "partition", "configure")
SECONDS_PER_MINUTE = 60.0


class Tally(NamedTuple):
    """What a soak has done so far."""

    runs: int = 0
    failed: int = 0
    core_events: int = 0
    requests: int = 0

    def plus(self, *, held: bool, core_events: int = 0, requests: int = 0) -> Tally:
        """Return the tally with one more run."""
        return Tally(
            self.runs + 1,
            self.failed + (not held),
            self.core_events + core_events,
            self.requests + requests,
        )


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_float("minutes", 5.0, "Start no new run after this time.", lower_bound=0.0)
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_string("directory", None, "Where to write results.")
    flags.DEFINE_bool("processes", True, "Run all-at-once on real processes too.")


def main(argv: list[str]) -> None:
    """Run until the time is over, and exit with 1 when any run broke what must hold."""
    del argv
    ends_at = time.monotonic() + FLAGS.minutes * SECONDS_PER_MINUTE
    seed = FLAGS.seed
    tally = Tally()
    while time.monotonic() < ends_at:
        tally = _run_core(seed, tally)
        names = list(DEPLOYMENTS) if FLAGS.processes else []
        for name in names:
            if time.monotonic() < ends_at:
                tally = _run_processes(name, seed, tally)
        seed += 1
    print(
        f"{tally.runs} runs, {tally.failed} with violations, {tally.core_events} faults on the"
        f" message bus, {tally.requests} requests on processes"
    )
    sys.exit(1 if tally.failed else 0)


def _run_core(seed: int, tally: Tally) -> Tally:
    """Drive cores on the message bus; an invariant that breaks in a core ends the soak."""
    chaos = Chaos(seed, CORE_EVENTS)
    broken = chaos.run(CORE_RUN_S)
    outcomes = " ".join(f"{what}={count}" for what, count in chaos.outcomes().items())
    _say(f"core-{seed}", outcomes, [f"{one.what} {one.key}" for one in broken])
    return tally.plus(held=not broken, core_events=len(chaos.history))


def _run_processes(name: str, seed: int, tally: Tally) -> Tally:
    title = f"{name}-{seed}"
    try:
        output = run_job(Job(SCENARIOS["all-at-once"], DEPLOYMENTS[name], seed, RUN_S))
    except NotReadyError as error:
        _say(title, "", [f"not ready: {error}"])
        return tally.plus(held=False)
    if FLAGS.directory:
        write_output(output, Path(FLAGS.directory) / f"{title}.json")
    result = output.result
    text = (
        f"requests={result['requests']} within_patience={result['within_patience']}"
        f" unknown={result['outcome_unknown']} flows_broken={result['flows_broken']}"
    )
    _say(title, text, output.violations)
    return tally.plus(held=not output.violations, requests=result["requests"])


def _say(title: str, text: str, broken: list[str]) -> None:
    print(f"{title}: {text} violations: {', '.join(broken) or 'none'}", flush=True)


if __name__ == "__main__":
    define_flags()
    app.run(main)
