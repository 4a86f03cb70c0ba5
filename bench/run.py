"""Run one scenario on real processes over loopback, and judge it from outside."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import app, flags

from bench.scenarios.catalog import SCENARIOS
from bench.scenarios.deployments import DEPLOYMENTS
from bench.scenarios.execute import Job, format_lag, format_table, run_job, write_output
from bench.scenarios.world import NotReadyError

FLAGS = flags.FLAGS
MOST_LINES = 20


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_enum("scenario", "steady", sorted(SCENARIOS), "What is done to the system.")
    flags.DEFINE_integer("seed", 1, "Seed of all random choices of the bench.")
    flags.DEFINE_float("seconds", 20.0, "How long callers work.", lower_bound=1.0)
    flags.DEFINE_string("logs", None, "A folder that keeps settings, logs and status pages.")
    flags.DEFINE_string("json", None, "Where to write the result; series go beside it.")
    flags.DEFINE_enum("deployment", "split", sorted(DEPLOYMENTS), "Whose deployment.")
    flags.DEFINE_bool(
        "relayed",
        False,
        "Pass the balancers' own traffic through the relay, which counts its bytes.",
    )
    flags.DEFINE_enum(
        "baseline",
        "none",
        ["none", "hash", "only"],
        "Also run a stateless hash balancer, or that one only.",
    )


def main(argv: list[str]) -> None:
    """Run, print the table, and exit with 1 when something that must hold did not."""
    del argv
    job = Job(
        SCENARIOS[FLAGS.scenario],
        DEPLOYMENTS[FLAGS.deployment],
        FLAGS.seed,
        FLAGS.seconds,
        is_relayed=FLAGS.relayed,
        logs=Path(FLAGS.logs) if FLAGS.logs else None,
    )
    path = Path(FLAGS.json) if FLAGS.json else None
    columns = {}
    found: list[str] = []
    lag = ""
    evidence: list[str] = []
    try:
        if FLAGS.baseline != "only":
            output = run_job(job)
            columns["banyanline"] = output.result
            found = output.violations
            evidence = output.series["evidence"]
            lag = format_lag(output.lag)
            if path:
                write_output(output, path)
        if FLAGS.baseline != "none":
            output = run_job(job._replace(is_baseline=True))
            columns["hash baseline"] = output.result
            if path:
                write_output(output, path.with_suffix(".baseline.json"))
    except NotReadyError as error:
        print(f"not ready: {error}", file=sys.stderr)
        sys.exit(2)
    print(format_table(columns))
    print(lag)
    for violation in found:
        print(f"VIOLATION {violation}")
    if found:
        print("\n".join(evidence[:MOST_LINES]))
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    define_flags()
    app.run(main)
