"""banyanline-status: what a running balancer holds and does, asked over its admin port.

usage: banyanline-status ADMIN_ADDR [--json]
       banyanline-status ADMIN_ADDR --why CALLER SERVICE [--json]

ADMIN_ADDR and CALLER are written ip:port, or [ip]:port for IPv6. The first form
prints the balancer's view of the fleet, the revision of its configuration, its
roles, flows and queues, and what it refused, retried and dropped. The second one
tells through which home and owner a caller's flow goes to which upstream, and why.

Exit code: 0 if the balancer is healthy, 1 if it is not or gives no answer, 2 if
the command line is wrong.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from absl import flags

from banyanline.cli.command import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    Command,
    print_error,
    run_command,
)
from banyanline.core.types import Endpoint
from banyanline.net.admin import parse_endpoint
from banyanline.net.http import HttpFailed, http_get
from banyanline.net.status import Explanation, ServiceStatus, Status

MAX_BODY_BYTES = 16 * 1024 * 1024
HTTP_OK = 200
USAGE = "usage: banyanline-status ADMIN_ADDR [--json] [--why CALLER SERVICE]"
COMMAND = Command("banyanline-status", __doc__, __name__)

_FLAGS = flags.FLAGS


class Question(NamedTuple):
    """What to ask which balancer; with ``caller`` it is where that caller's flow goes."""

    admin: Endpoint
    caller: Endpoint | None
    service: str
    as_json: bool
    timeout_s: float


class Reply(NamedTuple):
    """What to print, and the exit code; a non-empty ``error`` goes to stderr."""

    code: int
    output: str = ""
    error: str = ""


def parse_arguments(
    words: Sequence[str], *, why: str | None, as_json: bool, timeout_s: float
) -> Question | Reply:
    """Return the question that the command line puts, or the reply to a wrong one.

    >>> parse_arguments(["127.0.0.1:port"], why=None, as_json=False, timeout_s=5.0).error
    "ADMIN_ADDR: got '127.0.0.1:port', expected ip:port"
    """
    if len(words) != (1 if why is None else 2):
        return Reply(EXIT_USAGE, error=USAGE)
    admin = parse_endpoint(words[0])
    if admin is None:
        return Reply(EXIT_USAGE, error=f"ADMIN_ADDR: got {words[0]!r}, expected ip:port")
    if why is None:
        return Question(admin, None, "", as_json, timeout_s)
    caller = parse_endpoint(why)
    if caller is None:
        return Reply(EXIT_USAGE, error=f"CALLER: got {why!r}, expected ip:port")
    return Question(admin, caller, words[1], as_json, timeout_s)


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
        return Reply(
            EXIT_FAILED,
            error=f"no answer from {question.admin}: {response.reason} ({response.detail})",
        )
    if response.status != HTTP_OK:
        detail = response.body[:200].decode("ascii", "replace").strip()
        return Reply(EXIT_FAILED, error=f"{question.admin} answered {response.status}: {detail}")
    return render(question, response.body)


def render(question: Question, body: bytes) -> Reply:
    """Return the reply for the JSON that a balancer answered."""
    try:
        if question.caller is not None:
            explanation = msgspec.json.decode(body, type=Explanation)
            text = _key_values(explanation)
            code = EXIT_OK
        else:
            status = msgspec.json.decode(body, type=Status)
            text = render_status(status)
            code = EXIT_OK if status["healthy"] else EXIT_FAILED
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return Reply(EXIT_FAILED, error=f"{question.admin} sent an unknown answer: {error}")
    if question.as_json:
        text = json.dumps(msgspec.json.decode(body), indent=2)
    return Reply(code, text)


def render_status(status: Status) -> str:
    """Return the tables that show a status page."""
    health = "healthy" if status["healthy"] else "UNHEALTHY"
    parts = [
        f"{status['host']} ({status['data_centre']}, fabric group {status['fabric_group']}), "
        f"version {status['version']}: {health}",
        f"revision {status['revision']}, home of {status['home_slots']} of {status['slots']} "
        f"slots, owner of {len(status['owned'])} upstreams",
        "View\n"
        + _table(("host", "data centre", "state"), (row.values() for row in status["view"])),
        "Owned upstreams\n"
        + _table(
            (
                "upstream",
                "service",
                "data centre",
                "state",
                "busy",
                "slots",
                "queued",
                "connections",
            ),
            (row.values() for row in status["owned"]),
        ),
        "Services\n" + _table(("service", "flows", "answers"), _service_rows(status["services"])),
        "Counts\n" + _table(("count", "service", "reason", "total"), _count_rows(status)),
    ]
    return "\n\n".join(parts)


def _service_rows(services: Mapping[str, ServiceStatus]) -> Iterable[Sequence[object]]:
    return ((name, service["flows"], service["answers"]) for name, service in services.items())


def _count_rows(status: Status) -> Iterable[Sequence[object]]:
    for name, service in status["services"].items():
        by_kind = {
            "refusal": service["refusals"],
            "retry": service["retries"],
            "unknown outcome": service["unknown_outcomes"],
            "flow end": service["flow_ends"],
        }
        for kind, counts in by_kind.items():
            for reason, total in sorted(counts.items()):
                yield kind, name, reason, total
    of_no_service = {
        "drop": status["drops"],
        "peer frame rejection": status["peer_frame_rejections"],
        "configuration refusal": status["config_refusals"],
        "control failure": status["control_failures"],
        "platform failure": status["platform_failures"],
    }
    for kind, counts in of_no_service.items():
        for reason, total in sorted(counts.items()):
            yield kind, "-", reason, total


def _table(header: Sequence[str], rows: Iterable[Iterable[object]]) -> str:
    """Return columns as wide as their widest cell.

    >>> print(_table(("host", "state"), [("north-1", "live")]))
    host     state
    north-1  live
    """
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def _key_values(values: Mapping[str, Any]) -> str:
    width = max(map(len, values))
    return "\n".join(
        f"{key.replace('_', ' ').ljust(width)}  {value}" for key, value in values.items()
    )


def main(words: list[str]) -> int:
    """Run the program on the words that are no flags; return the exit code."""
    question = parse_arguments(
        words, why=_FLAGS.why, as_json=_FLAGS.json, timeout_s=_FLAGS.timeout_s
    )
    reply = question if isinstance(question, Reply) else asyncio.run(ask(question))
    if reply.output:
        print(reply.output)
    if reply.error:
        print_error(COMMAND, reply.error)
    return reply.code


def run() -> None:
    """Define the flags and run the program: the entry point of ``banyanline-status``."""
    flags.DEFINE_bool("json", False, "Print the balancer's answer as JSON.", module_name=__name__)
    flags.DEFINE_string(
        "why",
        None,
        "Show where the flow of this caller (ip:port) at SERVICE goes, and why.",
        module_name=__name__,
    )
    flags.DEFINE_float(
        "timeout_s",
        5.0,
        "Seconds to wait for the answer.",
        lower_bound=0.1,
        module_name=__name__,
    )
    run_command(COMMAND, main)


if __name__ == "__main__":
    run()
