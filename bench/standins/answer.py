"""What a caller makes of an answer."""

from __future__ import annotations

from typing import Any

from bench.scenarios.observations import Outcome, parse_echo
from bench.standins import coap


def judge_status(message: Any) -> tuple[Outcome, str]:
    """Tell a success from the refusals that a caller can get."""
    if message is None:
        return Outcome.NO_ANSWER, ""
    if message.code.is_successful():
        return Outcome.ANSWERED, ""
    detail = message.payload.decode("utf-8", "replace")
    if message.code == coap.SERVICE_UNAVAILABLE:
        return Outcome.REFUSED, detail
    if message.code == coap.GATEWAY_TIMEOUT or detail.startswith("unknown:"):
        return Outcome.UNKNOWN, detail
    return Outcome.WRONG, f"{message.code} {detail}"


def judge_echo(message: Any, key: str, service: str) -> tuple[Outcome, str]:
    """Check that an answer belongs to the request ``key`` of ``service``."""
    outcome, detail = judge_status(message)
    if outcome is not Outcome.ANSWERED:
        return outcome, detail
    echo = parse_echo(message.payload)
    if echo is None or echo.key != key or echo.service != service:
        return Outcome.WRONG, f"echo {message.payload[:60]!r}"
    return Outcome.ANSWERED, echo.upstream
