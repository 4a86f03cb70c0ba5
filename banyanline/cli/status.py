"""The program ``banyanline-status``: shows the state and decisions of a running balancer."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from absl import flags

from banyanline.cli.common import (
    ExitCode,
    new_program,
    parse_command_line,
    print_error,
    run_program,
    usage_error,
)
from banyanline.cli.table import render_table
from banyanline.core.types import Endpoint
from banyanline.net.admin import parse_endpoint
from banyanline.net.status import Explanation, Status
from banyanline.net.steering.status import FlowExplanation, SteeringStatus
from banyanline.transport.http import HttpFailed, http_get

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_SHOWN_CHARACTERS = 200
HTTP_OK = 200
_STEERING_FIELDS = frozenset({"configuration_version", "new_flow"})
"""Keys that identify responses of hosts on the operators' platform.

Each of these responses has one of the keys; responses of other hosts have none.
"""

_UPSTREAM_COLUMNS = ("upstream", "stage", "in_flight", "slots", "queued", "connections", "ramp")

_STEERING_COLUMNS = (
    "upstream",
    "service",
    "data_centre",
    "standing",
    "open_flows",
    "under_way",
    "expected_ms",
    "response_age_s",
    "retransmission_age_s",
    "failed_check_age_s",
)

_CANDIDATE_COLUMNS = (
    "upstream",
    "data_centre",
    "standing",
    "excluded",
    "total_in_flight",
    "total_open_flows",
    "speed",
    "window",
)

_TOTAL_COLUMNS = ("total_in_flight", "total_open_flows", "speed")
"""Columns of hosts that hear others of their data centre."""

PROGRAM = new_program(
    "banyanline-status",
    """
    Queries the state and decisions of a running balancer through its admin port.

    Usage:
      banyanline-status ADMIN_ADDR
      banyanline-status ADMIN_ADDR --why CALLER SERVICE

    ADMIN_ADDR and CALLER have the form ip:port, or [ip]:port for IPv6. The first form
    shows the balancer's view of the fleet, the revision of its configuration, its
    roles, flows and queues, and counts of refusals, retries and drops. The second form
    shows the home, the owner and the upstream of a caller's flow, and the reason.

    On the operators' platform ADMIN_ADDR is the address of the metrics, and SERVICE is
    the service address of the flow, ip:port. The first form shows the status of the
    upstreams as seen by the host, with the evidence and its age. The second form shows
    the host's state of the flow, where a new flow would go, and which upstreams it may
    go to or why not. Nothing is sent to an upstream.

    Example:
      banyanline-status 127.0.0.1:7102 --why 192.0.2.7:40000 orders
      banyanline-status 10.1.0.10:9102 --why 100.64.0.7:40001 198.18.0.1:443

    Exit status: 0 if the balancer is healthy (it has a configuration, and contact with
    its peers keeps its lease fresh), 1 if it is not healthy or does not respond, 2 for an
    invalid command line.
    """,
)
_JSON = flags.DEFINE_boolean(
    "json", False, "Print the balancer's response as JSON.", flag_values=PROGRAM.flag_values
)
_WHY = flags.DEFINE_string(
    "why",
    None,
    "Show where the flow of this caller (ip:port) to SERVICE goes, and why.",
    flag_values=PROGRAM.flag_values,
)
_TIMEOUT_S = flags.DEFINE_float(
    "timeout_s",
    5.0,
    "Seconds to wait for the response.",
    lower_bound=0.1,
    flag_values=PROGRAM.flag_values,
)


class StatusQuery(NamedTuple):
    """A query to the balancer at ``admin``: its status, or the flow of ``caller`` if given."""

    admin: Endpoint
    caller: Endpoint | None
    service: str
    is_json: bool
    timeout_s: float


class CommandResult(NamedTuple):
    """The result of a query: exit status, and text for stdout and stderr."""

    code: ExitCode
    output: str = ""
    error: str = ""


class UsageError(NamedTuple):
    """An error in the command line."""

    message: str


def parse_query(
    arguments: Sequence[str], *, why: str | None, is_json: bool, timeout_s: float
) -> StatusQuery | UsageError:
    """Build the query from the positional arguments and flags.

    >>> parse_query(["127.0.0.1:port"], why=None, is_json=False, timeout_s=5.0)
    UsageError(message="ADMIN_ADDR: got '127.0.0.1:port', accepted: ip:port")
    """
    expected = 1 if why is None else 2
    if len(arguments) != expected:
        return UsageError(f"got {len(arguments)} argument(s), accepted: {expected}")
    admin = parse_endpoint(arguments[0])
    if admin is None:
        return UsageError(f"ADMIN_ADDR: got {arguments[0]!r}, accepted: ip:port")
    if why is None:
        return StatusQuery(admin, None, "", is_json, timeout_s)
    caller = parse_endpoint(why)
    if caller is None:
        return UsageError(f"CALLER: got {why!r}, accepted: ip:port")
    return StatusQuery(admin, caller, arguments[1], is_json, timeout_s)


async def run_query(query: StatusQuery) -> CommandResult:
    """Send the query to the balancer and render its response."""
    target = "/status"
    if query.caller is not None:
        fields = {"caller": str(query.caller), "service": query.service}
        target = f"/why?{urlencode(fields)}"
    response = await http_get(
        query.admin, target, timeout_s=query.timeout_s, max_body_bytes=MAX_BODY_BYTES
    )
    if isinstance(response, HttpFailed):
        error = f"no response from {query.admin}: {response.reason} ({response.detail})"
        return CommandResult(ExitCode.FAILURE, error=error)
    if response.status != HTTP_OK:
        detail = response.body[:MAX_SHOWN_CHARACTERS].decode("ascii", "replace").strip()
        error = f"{query.admin} answered {response.status}: {detail}"
        return CommandResult(ExitCode.FAILURE, error=error)
    return render_response(query, response.body)


def render_response(query: StatusQuery, body: bytes) -> CommandResult:
    """Return the result for the JSON body of a balancer's response."""
    try:
        code, text = _render_body(query, body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"{query.admin} sent an unknown answer: {error}"
        return CommandResult(ExitCode.FAILURE, error=message)
    if query.is_json:
        text = json.dumps(msgspec.json.decode(body), indent=2)
    return CommandResult(code, text)


def _render_body(query: StatusQuery, body: bytes) -> tuple[ExitCode, str]:
    """Return exit status and text; raise msgspec.MsgspecError if the body has another schema."""
    is_steering = bool(_STEERING_FIELDS & msgspec.json.decode(body, type=dict).keys())
    if query.caller is not None:
        if is_steering:
            return ExitCode.OK, render_flow(msgspec.json.decode(body, type=FlowExplanation))
        return ExitCode.OK, _render_fields(msgspec.json.decode(body, type=Explanation))
    if is_steering:
        steering = msgspec.json.decode(body, type=SteeringStatus)
        is_ready = steering["state"] == "ready"
        return ExitCode.OK if is_ready else ExitCode.FAILURE, render_steering(steering)
    status = msgspec.json.decode(body, type=Status)
    return ExitCode.OK if is_healthy(status) else ExitCode.FAILURE, render_status(status)


def render_steering(status: SteeringStatus) -> str:
    """Render the status page of a host on the operators' platform as tables."""
    counts = [
        (kind, reason, total)
        for kind, totals in (
            ("reset", status["resets"]),
            ("drop", status["drops"]),
            ("check", status["checks"]),
        )
        for reason, total in sorted(totals.items())
    ]
    age_s = status["store_age_s"]
    data_centres_out = ", ".join(status["data_centres_out"]) or "none"
    peers = status.get("peers", 0)
    columns = _STEERING_COLUMNS + (_TOTAL_COLUMNS if peers else ())
    parts = [
        f"{status['host']} ({status['data_centre']}): {status['state']}\n"
        f"configuration {status['configuration_version']} with {status['routes']} routes, platform "
        f"revision {status['platform_revision']}, "
        f"{'not received yet' if age_s is None else f'current as of {age_s:.1f} s ago'}\n"
        f"{status['flows']} flows tracked, data centres out of service: "
        f"{data_centres_out}" + (f"\nreports from {peers} other hosts" if peers else ""),
        _render_section("Upstreams", status["upstreams"], columns),
        *_render_unreadable(status.get("unreadable", [])),
        "Counts\n" + render_table(("count", "reason", "total"), counts),
    ]
    return "\n\n".join(parts)


def render_flow(explanation: FlowExplanation) -> str:
    """Render the explanation of a flow, and the upstreams that a new flow may go to."""
    fields = {name: value for name, value in explanation.items() if name != "candidates"}
    candidates = explanation.get("candidates", [])
    if not candidates:
        return _render_fields(fields)
    section = _render_section("Upstreams for a new flow", candidates, _CANDIDATE_COLUMNS)
    return f"{_render_fields(fields)}\n\n{section}"


def _render_unreadable(rows: Sequence[Mapping[str, Any]]) -> list[str]:
    if not rows:
        return []
    return [_render_section("Unreadable platform data", rows, ("key", "path", "value", "effect"))]


def is_healthy(status: Status) -> bool:
    """Whether the balancer has a configuration and contact with its peers (a fresh lease)."""
    return status["revision"] > 0 and status["lease_fresh"]


def render_status(status: Status) -> str:
    """Render the status page of a balancer as tables."""
    parts = [
        f"{status['host']} ({status['data_centre']}), version {status['version']}: "
        f"{_health_summary(status)}\n"
        f"revision {status['revision']}, home of {status['home_slots']} slots, owner of "
        f"{len(status['owned'])} upstreams, {'a' if status['reader'] else 'no'} reader of "
        "the platform\n"
        f"{status['flows']} flows, {status['streams']} streams, "
        f"{status['requests_open']} open requests",
        _render_section("View", status["view"], ("host", "data_centre", "status", "leaving")),
        _render_section("Owned upstreams", status["owned"], _UPSTREAM_COLUMNS),
        "Counts\n" + render_table(("count", "service", "reason", "total"), _count_rows(status)),
    ]
    return "\n\n".join(parts)


def _health_summary(status: Status) -> str:
    states = ["healthy" if is_healthy(status) else "UNHEALTHY"]
    if not status["lease_fresh"]:
        states.append("lease not fresh")
    if not status["majority"]:
        states.append("no majority of its fabric group")
    if status["stopping"]:
        states.append("stopping")
    return ", ".join(states)


def _render_section(title: str, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    heading = [column.replace("_", " ") for column in columns]
    cells = ([_format_cell(row[column]) for column in columns] for row in rows)
    return f"{title}\n{render_table(heading, cells)}"


def _format_cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def _count_rows(status: Status) -> Iterable[Sequence[object]]:
    kinds: dict[str, Mapping[str, int]] = {
        "refusal": status["refusals"],
        "retry": status["retries"],
        "unknown outcome": status["unknown_outcomes"],
        "flow end": status["flow_ends"],
        "drop": status["drops"],
        "claim": status.get("claims", {}),
        "recovered": status.get("recovered", {}),
        "peer frame rejection": status.get("peer_frame_rejections", {}),
        "configuration refusal": status.get("config_refusals", {}),
    }
    for kind, counts in kinds.items():
        for name, total in sorted(counts.items()):
            service, _, reason = name.rpartition("/")
            yield kind, service or "-", reason, total


def _render_fields(values: Mapping[str, Any]) -> str:
    rows = ((key, "-" if value is None else value) for key, value in values.items())
    return render_table(("field", "value"), rows)


def main(argv: Sequence[str]) -> int:
    """Run the program with ``argv`` and return the exit status."""
    arguments = parse_command_line(PROGRAM, argv)
    if isinstance(arguments, ExitCode):
        return arguments
    query = parse_query(arguments, why=_WHY.value, is_json=_JSON.value, timeout_s=_TIMEOUT_S.value)
    if isinstance(query, UsageError):
        return usage_error(PROGRAM, query.message)
    result = asyncio.run(run_query(query))
    if result.output:
        print(result.output)
    if result.error:
        print_error(PROGRAM, result.error)
    return result.code


def run() -> None:
    """Run the program with the arguments of the process, and exit."""
    run_program(main)


if __name__ == "__main__":
    run()
