"""Classifies the responses that callers receive."""

from __future__ import annotations

from typing import Any

from bench.scenarios.observations import Outcome, parse_echo
from bench.standins import coap


def classify_status(message: Any) -> tuple[Outcome, str]:
    """Return the outcome by response code, and the reason when it is not a success."""
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


def classify_response(message: Any, key: str, service: str) -> tuple[Outcome, str]:
    """Return the outcome; a success must echo the request ``key`` and ``service``.

    The second value is the upstream that responded, or the reason for another outcome.
    """
    outcome, detail = classify_status(message)
    if outcome is not Outcome.ANSWERED:
        return outcome, detail
    echo = parse_echo(message.payload)
    if echo is None or echo.key != key or echo.service != service:
        return Outcome.WRONG, f"unexpected payload {message.payload[:60]!r}"
    return Outcome.ANSWERED, echo.upstream
