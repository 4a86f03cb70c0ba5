"""Validation of the operators' platform configuration before it is written to the store."""

from __future__ import annotations

import json
from typing import Any

import pytest

from banyanline.cli.config import main
from banyanline.platform.validation import check_configuration

ROUTE = {
    "name": "r-1",
    "hostname": "198.18.0.1",
    "prefix": "/443/",
    "route_type": "safe",
    "timeout_ms": 800,
    "service": "orders",
}


def configuration(*routes: dict[str, Any], **fields: Any) -> bytes:
    known = {"version": 7, "routes": list(routes), "services": [{"name": "orders"}], "limits": {}}
    return json.dumps(known | fields).encode()


def split_route(*weights: float) -> dict[str, Any]:
    shares = [{"service": "orders", "weight": weight} for weight in weights]
    return ROUTE | {"service": None, "traffic_split": shares}


@pytest.mark.parametrize(
    ("data", "parts"),
    [
        pytest.param(configuration(ROUTE), [], id="good"),
        pytest.param(b"{", ["truncated"], id="no JSON"),
        pytest.param(b"[" * 100_000, ["Expected `object`"], id="deeply nested"),
        pytest.param(configuration(version="7"), ["$.version"], id="version of another type"),
        pytest.param(configuration(version=0), ["version: got 0"], id="version 0"),
        pytest.param(
            configuration(ROUTE | {"route_type": "quick"}), ["routes[0].route_type"], id="kind"
        ),
        pytest.param(
            configuration(ROUTE | {"hostname": "host.example"}), ["routes[0]", "IPv4"], id="a name"
        ),
        pytest.param(configuration(ROUTE | {"prefix": "/0/"}), ["routes[0]", "port"], id="port 0"),
        pytest.param(configuration(ROUTE, ROUTE), ["routes[1]", "routes[0]"], id="twice"),
        pytest.param(
            configuration(ROUTE | {"service": "sheets"}), ["'sheets'", "services"], id="unknown"
        ),
        pytest.param(configuration(ROUTE | {"service": None}), ["neither"], id="no service"),
        pytest.param(configuration(split_route(0.0)), ["weights"], id="no weight above 0"),
        pytest.param(
            configuration(split_route(-1.0)), ["traffic_split[0].weight"], id="negative weight"
        ),
        pytest.param(
            configuration(ROUTE | {"timeout_ms": -1}), ["timeout_ms: got -1"], id="negative time"
        ),
        pytest.param(
            configuration(limits={"idle_timeout_ms": 0}), ["idle_timeout_ms"], id="no idle time"
        ),
    ],
)
def test_problems_name_the_field(data, parts):
    problems = check_configuration(data).problems
    assert bool(problems) == bool(parts)
    assert all(any(part in problem for problem in problems) for part in parts), problems


def test_all_problems_are_reported_at_once():
    bad = ROUTE | {"hostname": "x", "service": "y", "timeout_ms": -1}
    assert len(check_configuration(configuration(bad, bad)).problems) == 6


@pytest.mark.parametrize(
    ("data", "code", "expected"),
    [
        pytest.param(configuration(ROUTE), 0, "accepted: version 7, routes: 1", id="good"),
        pytest.param(configuration(ROUTE | {"prefix": "x"}), 1, "routes[0]", id="bad"),
    ],
)
def test_the_check_command_validates_platform_configurations(
    tmp_path, capsys, data, code, expected
):
    path = tmp_path / "config.json"
    path.write_bytes(data)
    assert main(["banyanline-config", "check", str(path)]) == code
    shown = capsys.readouterr()
    assert expected in shown.out + shown.err
