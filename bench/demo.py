"""Starts a small fleet, changes everything once while callers are at work, and judges.

Three data centres with two balancers each, the upstreams and callers of the
Split deployment. Exits with 0 only if nothing was broken.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from absl import app, flags

from bench.scenarios.catalog import Scenario
from bench.scenarios.deployments import SPLIT
from bench.scenarios.execute import Job, format_lag, format_table, run_job, write_output
from bench.scenarios.world import NotReadyError, World
from bench.standins.stock_client import ask

FLAGS = flags.FLAGS
DEMO_S = 18.0
PAUSES = 7


class BrokenDemoError(Exception):
    """A step of the demo did not give what it must."""


def _say(what: str) -> None:
    print(f"  {what}", flush=True)


async def ask_with_stock_client(world: World) -> None:
    """Let aiocoap-client ask for a reading; raise BrokenDemoError when it gets none."""
    route = world.routes[0]
    answer = await ask(route.address, f"{route.name}/readings?k=stock-client")
    if answer.exit_status != 0 or not answer.text.startswith("stock-client "):
        raise BrokenDemoError(f"aiocoap-client: {answer.text} {answer.errors}")
    _say(f"aiocoap-client got: {answer.text}")


async def planned_changes(world: World, seconds: float) -> None:
    """Make one planned change of each kind."""
    pause_s = seconds / PAUSES
    data_centres = world.options.deployment.data_centres
    service = world.options.deployment.services[0].name
    await ask_with_stock_client(world)
    _say(f"a balancer joins in {data_centres[0]}")
    await world.add_balancer(data_centres[0])
    await asyncio.sleep(pause_s)
    victim = world.fleet.balancers[0]
    _say(f"balancer {victim.name} is stopped")
    world.chronicle.note(f"stop {victim.name}")
    stopping = asyncio.create_task(world.fleet.stop(victim))
    await asyncio.sleep(pause_s)
    upstream = world.add_upstream(service)
    _say(f"upstream {upstream.spec.name} is added, cold")
    await asyncio.sleep(pause_s)
    _say(f"upstream {service}-1 leaves")
    world.drain_upstream(f"{service}-1")
    await asyncio.sleep(pause_s)
    _say(f"data centre {data_centres[2]} is taken out of service")
    world.take_out(data_centres[2])
    await asyncio.sleep(2 * pause_s)
    _say(f"data centre {data_centres[2]} is back")
    world.bring_back(data_centres[2])
    await asyncio.sleep(pause_s)
    await stopping


def define_flags() -> None:
    """Define the command line."""
    flags.DEFINE_integer("seed", 1, "Seed of all random choices of the demo.")
    flags.DEFINE_bool("baseline", False, "Show the stateless hash balancer instead.")
    flags.DEFINE_string("json", None, "Where to write the result; series go beside it.")


def main(argv: list[str]) -> None:
    """Run the demo and exit with 1 when something broke."""
    del argv
    scenario = Scenario("demo", planned_changes, is_planned=True)
    print("3 data centres, 6 balancers, callers at work; each planned change once:", flush=True)
    try:
        output = run_job(Job(scenario, SPLIT, FLAGS.seed, DEMO_S, FLAGS.baseline))
    except NotReadyError as error:
        print(f"not ready: {error}", file=sys.stderr)
        sys.exit(2)
    except BrokenDemoError as error:
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
