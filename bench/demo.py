"""Demo: makes one planned change of each kind to a small fleet under load.

It runs the upstreams and callers of the Split deployment, with three data centres
and two balancers in each. Exits with 0 only if no invariant was violated.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from absl import app, flags

from bench.scenarios.catalog import Scenario
from bench.scenarios.deployments import SPLIT
from bench.scenarios.environment import Environment, NotReadyError
from bench.scenarios.execute import Job, format_lag, format_table, run_job, write_output
from bench.standins.stock_client import run_stock_client

FLAGS = flags.FLAGS
DEMO_S = 18.0
STEPS = 7


class DemoFailedError(Exception):
    """A step of the demo failed."""


def _print_step(step: str) -> None:
    print(f"  {step}", flush=True)


async def query_with_aiocoap_client(environment: Environment) -> None:
    """Request a reading with aiocoap-client; raise DemoFailedError if the request fails."""
    route = environment.routes[0]
    answer = await run_stock_client(route.address, f"{route.name}/readings?k=stock-client")
    if answer.exit_status != 0 or not answer.text.startswith("stock-client "):
        raise DemoFailedError(f"aiocoap-client: {answer.text} {answer.errors}")
    _print_step(f"aiocoap-client got: {answer.text}")


async def planned_changes(environment: Environment, seconds: float) -> None:
    """Make one planned change of each kind, spread over ``seconds``."""
    step_s = seconds / STEPS
    data_centres = environment.options.deployment.data_centres
    service = environment.options.deployment.services[0].name
    await query_with_aiocoap_client(environment)
    _print_step(f"a balancer joins in {data_centres[0]}")
    await environment.add_balancer(data_centres[0])
    await asyncio.sleep(step_s)
    victim = environment.fleet.balancers[0]
    _print_step(f"balancer {victim.name} is stopped")
    environment.timeline.record_event(f"stop {victim.name}")
    stopping = asyncio.create_task(environment.fleet.stop(victim))
    await asyncio.sleep(step_s)
    upstream = environment.add_upstream(service)
    _print_step(f"upstream {upstream.spec.name} is added, cold")
    await asyncio.sleep(step_s)
    _print_step(f"upstream {service}-1 leaves")
    environment.drain_upstream(f"{service}-1")
    await asyncio.sleep(step_s)
    _print_step(f"data centre {data_centres[2]} is taken out of service")
    environment.take_out_of_service(data_centres[2])
    await asyncio.sleep(2 * step_s)
    _print_step(f"data centre {data_centres[2]} is back")
    environment.return_to_service(data_centres[2])
    await asyncio.sleep(step_s)
    await stopping


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_integer("seed", 1, "Seed of all random choices of the demo.")
    flags.DEFINE_bool("baseline", False, "Run the stateless hash balancer instead.")
    flags.DEFINE_string("json", None, "File for the result; the time series are written beside it.")


def main(argv: list[str]) -> None:
    """Run the demo and exit with 1 if an invariant was violated."""
    del argv
    scenario = Scenario("demo", planned_changes, is_planned=True, may_refuse=True)
    print("3 data centres, 6 balancers, under load; each planned change once:", flush=True)
    try:
        output = run_job(Job(scenario, SPLIT, FLAGS.seed, DEMO_S, FLAGS.baseline))
    except NotReadyError as error:
        print(f"not ready: {error}", file=sys.stderr)
        sys.exit(2)
    except DemoFailedError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    print(format_table({"demo": output.result}))
    print(format_lag(output.lag))
    if FLAGS.json:
        write_output(output, Path(FLAGS.json))
    for violation in output.violations:
        print(f"VIOLATION {violation}")
    if output.violations:
        print("\n".join(output.series["evidence"]))
    print("nothing was broken" if not output.violations else "something was broken")
    sys.exit(1 if output.violations else 0)


if __name__ == "__main__":
    define_flags()
    app.run(main)
