"""The program banyanline-status: what a running balancer holds and does, and why."""

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
"""One of these is in each answer of a host on the operators' platform, and in no other."""

_UPSTREAM_COLUMNS = ("upstream", "stage", "in_flight", "slots", "queued", "connections", "ramp")

_STEERING_COLUMNS = (
    "upstream",
    "service",
    "data_centre",
    "standing",
    "open_flows",
    "under_way",
    "expected_ms",
    "sign_age_s",
    "doubt_age_s",
    "failed_check_age_s",
)

PROGRAM = new_program(
    "banyanline-status",
    """
    Asks a running balancer, over its admin port, what it holds and does.

    Usage:
      banyanline-status ADMIN_ADDR
      banyanline-status ADMIN_ADDR --why CALLER SERVICE

    ADMIN_ADDR and CALLER are written ip:port, or [ip]:port for IPv6. The first form
    shows the balancer's view of the fleet, the revision of its configuration, its
    roles, flows and queues, and what it refused, retried and dropped. The second one
    tells through which home and owner a caller's flow goes to which upstream, and why.

    On the operators' platform ADMIN_ADDR is the address of the metrics, and SERVICE the
    service address of the flow, ip:port. The first form shows the upstreams as the host
    regards them, with the evidence and its age; the second one what the host knows of
    the flow, and where a new one would go.

    Example:
      banyanline-status 127.0.0.1:7102 --why 192.0.2.7:40000 orders
      banyanline-status 10.1.0.10:9102 --why 100.64.0.7:40001 198.18.0.1:443

    Exit status: 0 if the balancer is healthy (it has a configuration and hears from its
    peers), 1 if it is not or gives no answer, 2 for a wrong command line.
    """,
)
_JSON = flags.DEFINE_boolean(
    "json", False, "Print the balancer's answer as JSON.", flag_values=PROGRAM.flag_values
)
_WHY = flags.DEFINE_string(
    "why",
    None,
    "Tell where the flow of this caller (ip:port) at SERVICE goes, and why.",
    flag_values=PROGRAM.flag_values,
)
_TIMEOUT_S = flags.DEFINE_float(
    "timeout_s",
    5.0,
    "Seconds to wait for the answer.",
    lower_bound=0.1,
    flag_values=PROGRAM.flag_values,
)


class Question(NamedTuple):
    """What to ask which balancer; with ``caller`` it is where that caller's flow goes."""

    admin: Endpoint
    caller: Endpoint | None
    service: str
    is_json: bool
    timeout_s: float


class Reply(NamedTuple):
    """What to print on stdout and stderr, and the exit code."""

    code: ExitCode
    output: str = ""
    error: str = ""


class UsageProblem(NamedTuple):
    """What is wrong with the command line."""

    message: str


def parse_question(
    words: Sequence[str], *, why: str | None, is_json: bool, timeout_s: float
) -> Question | UsageProblem:
    """Return the question that the command line puts.

    >>> parse_question(["127.0.0.1:port"], why=None, is_json=False, timeout_s=5.0)
    UsageProblem(message="ADMIN_ADDR: got '127.0.0.1:port', accepted: ip:port")
    """
    expected = 1 if why is None else 2
    if len(words) != expected:
        return UsageProblem(f"got {len(words)} argument(s), accepted: {expected}")
    admin = parse_endpoint(words[0])
    if admin is None:
        return UsageProblem(f"ADMIN_ADDR: got {words[0]!r}, accepted: ip:port")
    if why is None:
        return Question(admin, None, "", is_json, timeout_s)
    caller = parse_endpoint(why)
    if caller is None:
        return UsageProblem(f"CALLER: got {why!r}, accepted: ip:port")
    return Question(admin, caller, words[1], is_json, timeout_s)


async def ask(question: Question) -> Reply:
    """Put the question to the balancer and render what it answers."""
    target = "/status"
    if question.caller is not None:
        fields = {"caller": str(question.caller), "service": question.service}
        target = f"/why?{urlencode(fields)}"
    response = await http_get(
        question.admin, target, timeout_s=question.timeout_s, max_body_bytes=MAX_BODY_BYTES
    )
    if isinstance(response, HttpFailed):
        error = f"no answer from {question.admin}: {response.reason} ({response.detail})"
        return Reply(ExitCode.PROBLEM, error=error)
    if response.status != HTTP_OK:
        detail = response.body[:MAX_SHOWN_CHARACTERS].decode("ascii", "replace").strip()
        error = f"{question.admin} answered {response.status}: {detail}"
        return Reply(ExitCode.PROBLEM, error=error)
    return render_reply(question, response.body)


def render_reply(question: Question, body: bytes) -> Reply:
    """Return the reply for the JSON that a balancer answered."""
    try:
        code, text = _render_body(question, body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"{question.admin} sent an unknown answer: {error}"
        return Reply(ExitCode.PROBLEM, error=message)
    if question.is_json:
        text = json.dumps(msgspec.json.decode(body), indent=2)
    return Reply(code, text)


def _render_body(question: Question, body: bytes) -> tuple[ExitCode, str]:
    """Return the exit code and text of an answer; raises msgspec.MsgspecError if unknown."""
    is_steering = bool(_STEERING_FIELDS & msgspec.json.decode(body, type=dict).keys())
    if question.caller is not None:
        explained = msgspec.json.decode(body, type=FlowExplanation if is_steering else Explanation)
        return ExitCode.OK, _render_fields(explained)
    if is_steering:
        steering = msgspec.json.decode(body, type=SteeringStatus)
        is_ready = steering["state"] == "ready"
        return ExitCode.OK if is_ready else ExitCode.PROBLEM, render_steering(steering)
    status = msgspec.json.decode(body, type=Status)
    return ExitCode.OK if is_healthy(status) else ExitCode.PROBLEM, render_status(status)


def render_steering(status: SteeringStatus) -> str:
    """Return the tables that show a status page of a host on the operators' platform."""
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
    out = ", ".join(status["data_centres_out"]) or "none"
    parts = [
        f"{status['host']} ({status['data_centre']}): {status['state']}\n"
        f"configuration {status['configuration_version']} with {status['routes']} routes, platform "
        f"revision {status['platform_revision']}, "
        f"known {'not at all' if age_s is None else f'as of {age_s:.1f} s ago'}\n"
        f"{status['flows']} flows remembered, data centres out of service: {out}",
        _section("Upstreams", status["upstreams"], _STEERING_COLUMNS),
        "Counts\n" + render_table(("count", "reason", "total"), counts),
    ]
    return "\n\n".join(parts)


def is_healthy(status: Status) -> bool:
    """Whether the balancer has a configuration and hears from its peers."""
    return status["revision"] > 0 and status["lease_fresh"]


def render_status(status: Status) -> str:
    """Return the tables that show a status page."""
    parts = [
        f"{status['host']} ({status['data_centre']}), version {status['version']}: "
        f"{_state(status)}\n"
        f"revision {status['revision']}, home of {status['home_slots']} slots, owner of "
        f"{len(status['owned'])} upstreams, {'a' if status['reader'] else 'no'} reader of "
        "the platform\n"
        f"{status['flows']} flows, {status['streams']} streams, "
        f"{status['requests_open']} open requests",
        _section("View", status["view"], ("host", "data_centre", "status", "leaving")),
        _section("Owned upstreams", status["owned"], _UPSTREAM_COLUMNS),
        "Counts\n" + render_table(("count", "service", "reason", "total"), _count_rows(status)),
    ]
    return "\n\n".join(parts)


def _state(status: Status) -> str:
    states = ["healthy" if is_healthy(status) else "UNHEALTHY"]
    if not status["lease_fresh"]:
        states.append("lease not fresh")
    if not status["majority"]:
        states.append("no majority of its fabric group")
    if status["stopping"]:
        states.append("stopping")
    return ", ".join(states)


def _section(title: str, rows: Sequence[Mapping[str, Any]], columns: Sequence[str]) -> str:
    heading = [column.replace("_", " ") for column in columns]
    cells = ([_cell(row[column]) for column in columns] for row in rows)
    return f"{title}\n{render_table(heading, cells)}"


def _cell(value: object) -> str:
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
    """Run the program with ``argv``, whose first item is its own name."""
    words = parse_command_line(PROGRAM, argv)
    if isinstance(words, ExitCode):
        return words
    question = parse_question(
        words, why=_WHY.value, is_json=_JSON.value, timeout_s=_TIMEOUT_S.value
    )
    if isinstance(question, UsageProblem):
        return usage_error(PROGRAM, question.message)
    reply = asyncio.run(ask(question))
    if reply.output:
        print(reply.output)
    if reply.error:
        print_error(PROGRAM, reply.error)
    return reply.code


def run() -> None:
    """Run the program and exit."""
    run_program(main)


if __name__ == "__main__":
    run()
