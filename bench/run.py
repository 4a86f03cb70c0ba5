"""Runs one scenario on real processes over loopback and checks what callers and upstreams saw."""

from __future__ import annotations

import sys
from pathlib import Path

from absl import app, flags

from bench.scenarios.catalog import SCENARIOS
from bench.scenarios.deployments import DEPLOYMENTS
from bench.scenarios.environment import NotReadyError
from bench.scenarios.execute import Job, format_lag, format_table, run_job, write_output

FLAGS = flags.FLAGS
MAX_EVIDENCE_LINES = 20


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_enum("scenario", "steady", sorted(SCENARIOS), "The scenario to run.")
    flags.DEFINE_integer("seed", 1, "Seed of all random choices of the bench.")
    flags.DEFINE_float("seconds", 20.0, "Duration of the load, in seconds.", lower_bound=1.0)
    flags.DEFINE_string("logs", None, "Folder to keep settings, logs and status pages in.")
    flags.DEFINE_string("json", None, "File for the result; the time series are written beside it.")
    flags.DEFINE_enum("deployment", "split", sorted(DEPLOYMENTS), "The deployment to simulate.")
    flags.DEFINE_bool(
        "relayed",
        False,
        "Send the traffic between balancers through the relay, which counts its bytes.",
    )
    flags.DEFINE_enum(
        "baseline",
        "none",
        ["none", "hash", "only"],
        "Whether to run the stateless hash balancer too, or only that one.",
    )


def main(argv: list[str]) -> None:
    """Run the scenario, print the results and exit with 1 if an invariant was violated."""
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
    violations: list[str] = []
    lag = ""
    evidence: list[str] = []
    try:
        if FLAGS.baseline != "only":
            output = run_job(job)
            columns["banyanline"] = output.result
            violations = output.violations
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
    for violation in violations:
        print(f"VIOLATION {violation}")
    if violations:
        print("\n".join(evidence[:MAX_EVIDENCE_LINES]))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    define_flags()
    app.run(main)
