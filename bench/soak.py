"""Repeats ``all-at-once`` with successive seeds for a number of minutes."""

from __future__ import annotations

import sys
import time
from pathlib import Path

from absl import app, flags

from bench.deployments import DEPLOYMENTS
from bench.execute import Job, run_job, write_output
from bench.scenarios import SCENARIOS
from bench.world import NotReadyError

FLAGS = flags.FLAGS
RUN_S = 30.0
SECONDS_PER_MINUTE = 60.0


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_float("minutes", 5.0, "Start no new run after this time.", lower_bound=0.0)
    flags.DEFINE_integer("seed", 1, "The first seed.")
    flags.DEFINE_string("directory", None, "Where to write results.")


def main(argv: list[str]) -> None:
    """Run both deployments in turn, and exit with 1 when any run broke what must hold."""
    del argv
    ends_at = time.monotonic() + FLAGS.minutes * SECONDS_PER_MINUTE
    seed = FLAGS.seed
    runs = 0
    failed = 0
    while time.monotonic() < ends_at:
        for name, deployment in DEPLOYMENTS.items():
            job = Job(SCENARIOS["all-at-once"], deployment, seed, RUN_S)
            runs += 1
            failed += not _run(job, f"{name}-{seed}")
        seed += 1
    print(f"{runs} runs, {failed} with violations")
    sys.exit(1 if failed else 0)


def _run(job: Job, title: str) -> bool:
    """Run one job; return whether all held."""
    try:
        output = run_job(job)
    except NotReadyError as error:
        print(f"{title}: not ready: {error}", flush=True)
        return False
    if FLAGS.directory:
        write_output(output, Path(FLAGS.directory) / f"{title}.json")
    result = output.result
    print(
        f"{title}: requests={result['requests']} within_patience={result['within_patience']}"
        f" flows_broken={result['flows_broken']} violations={' '.join(output.violations) or '-'}",
        flush=True,
    )
    return not output.violations


if __name__ == "__main__":
    define_flags()
    app.run(main)
