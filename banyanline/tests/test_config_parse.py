from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from banyanline.config import (
    MAX_DOCUMENT_BYTES,
    ConfigurationErrors,
    IncrementalParser,
    check_document,
    parse_document,
    render_document,
)
from banyanline.core.model import Configuration, PatienceWindow
from examples import large, slovenia, split

if TYPE_CHECKING:
    from _pytest.mark import ParameterSet

DELETE = object()
UPSTREAM = "services[0].upstreams[0]"
WINDOW = "caller_groups[0].windows[1]"


def changed(path: str, value: object) -> Any:
    """Return the Split example as plain JSON, with the value at ``path`` set or deleted."""
    document = msgspec.json.decode(msgspec.json.encode(split.configuration()))
    *keys, last = [int(key) if key.isdigit() else key for key in re.findall(r"\w+", path)]
    parent: Any = document
    for key in keys:
        parent = parent[key]
    if value is DELETE:
        del parent[last]
    elif isinstance(parent, list) and last == len(parent):
        parent.append(value)
    else:
        parent[last] = value
    return document


def case(path: str, value: object, name: str, error_path: str | None = None) -> ParameterSet:
    return pytest.param(path, value, error_path or path, id=name)


@pytest.mark.parametrize(
    ("path", "value", "error_path"),
    [
        case("schema_version", 2, "schema version"),
        case("revision", 0, "zero revision"),
        case("revision", True, "revision is a boolean"),
        case("revision", DELETE, "no revision"),
        case("extra", 1, "unknown key"),
        case(f"{UPSTREAM}.weight", 1, "unknown deep key"),
        case(f"{UPSTREAM}.slots", 0, "zero slots"),
        case(f"{UPSTREAM}.slots", 2.0, "fractional slots"),
        case(f"{UPSTREAM}.connections", 0, "no connections"),
        case(f"{UPSTREAM}.state", "gone", "unknown state"),
        case(f"{UPSTREAM}.address", "a.example:1", "host name"),
        case(f"{UPSTREAM}.address", "192.0.2.1:65536", "port range"),
        case(f"{UPSTREAM}.address", "192.0.2.256:1", "ip range"),
        case(f"{UPSTREAM}.address", "192.0.2.01:1", "leading zero"),
        case(f"{UPSTREAM}.address", "224.0.0.1:1", "multicast"),
        case(f"{UPSTREAM}.address", "0.0.0.0:1", "unspecified address"),
        case(f"{UPSTREAM}.data_centre", "split-otok", "unknown data centre"),
        case("services[1].upstreams[0].name", "stup-napajanje-1", "upstream name twice"),
        case(
            "services[1].upstreams[0].address",
            split.ADDRESSES["stup-napajanje-1"],
            "upstream address twice",
        ),
        case(
            "services[1].upstreams[0].address",
            split.ADDRESSES["stup-napajanje"],
            "upstream at a service address",
        ),
        case("services[1].name", "stup-napajanje", "service name twice"),
        case("services[1].address", split.ADDRESSES["stup-napajanje"], "service address twice"),
        case("services[1].host_port", 15683, "host_port twice"),
        case("services[0].host_port", 0, "zero host_port"),
        case("services[0].upstreams", [], "no upstream"),
        case("services[0].upstreams", DELETE, "upstreams absent"),
        case("services[0].protocol", "tcp", "unknown protocol"),
        case("services[0]", "orders", "service is a text"),
        case("services", {}, "services is an object"),
        case("services[0].health_path", "/health", "health path with a leading slash"),
        case("services[0].idle_timeout_s", 0, "zero idle timeout"),
        case("services[0].cold_start", 5, "cold start is a number"),
        case("services[0].cold_start.initial_slots", 0, "cold start without a slot"),
        case("services[0].cold_start.initial_rate", 0, "cold start without a rate"),
        case("data_centres", [], "no data centre"),
        case("data_centres[3]", {"name": "split-jug"}, "name twice", "data_centres[3].name"),
        case("data_centres[0].state", "leaving", "unknown data centre state"),
        case("caller_groups[0].time_zone", "Europe/Split", "unknown time zone"),
        case("caller_groups[0].time_zone", "../etc", "time zone as path"),
        case("caller_groups[0].networks", [], "no network"),
        case("caller_groups[0].networks[0]", "10.0.0.1/8", "network with host bits"),
        case("caller_groups[1].networks[0]", "10.20.0.0/16", "network twice"),
        case("caller_groups[0].default_patience_s", 45.5, "patience above 45 s"),
        case(f"{WINDOW}.patience_s", 0, "no patience"),
        case(f"{WINDOW}.start", "22:59", "windows overlap", WINDOW),
        case(f"{WINDOW}.end", "18:01", "windows overlap past midnight", WINDOW),
        case(f"{WINDOW}.end", "23:00", "empty window"),
        case(f"{WINDOW}.end", "24:00", "time of day out of range"),
    ],
)
def test_single_error_reports_its_path(path, value, error_path):
    result = check_document(changed(path, value))
    assert isinstance(result, ConfigurationErrors)
    assert [error.path for error in result.errors] == [error_path]


def test_all_errors_are_collected():
    document = changed(f"{UPSTREAM}.slots", -1)
    document["revision"] = "7"
    document["services"][1]["protocol"] = 5
    result = check_document(document)
    assert isinstance(result, ConfigurationErrors)
    assert str(result).splitlines() == [
        "revision: got '7', accepted: a whole number from 1 to 9007199254740991",
        f"{UPSTREAM}.slots: got -1, accepted: a whole number from 1 to 10000",
        "services[1].protocol: got 5, accepted: 'coap' or 'udp'",
    ]


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xfe", id="not UTF-8"),
        pytest.param(b'{"revision": 1', id="truncated"),
        pytest.param(b"[]", id="a list"),
        pytest.param(b"[" * 100_000, id="deeply nested"),
        pytest.param(b'{"revision": ' + b"9" * 400 + b"}", id="huge number"),
        pytest.param(b'{"revision": 1e999}', id="infinite number"),
        pytest.param(b" " * (MAX_DOCUMENT_BYTES + 1), id="too large"),
    ],
)
def test_invalid_text_returns_errors(data):
    result = parse_document(data)
    assert isinstance(result, ConfigurationErrors)


@pytest.mark.parametrize(
    "example",
    [
        pytest.param(split, id="split"),
        pytest.param(slovenia, id="slovenia"),
        pytest.param(large, id="large"),
    ],
)
def test_examples_are_accepted_and_read_back(example):
    configuration = check_document(example.configuration(revision=5))
    assert isinstance(configuration, Configuration)
    assert configuration.revision == 5
    assert parse_document(render_document(configuration)) == configuration
    assert parse_document(render_document(configuration, indent=2)) == configuration


def test_sizes_of_the_large_example():
    configuration = check_document(large.configuration())
    assert isinstance(configuration, Configuration)
    assert len(configuration.services) == 340
    assert sum(len(service.upstreams) for service in configuration.services) == 3_300
    assert len(render_document(configuration)) < MAX_DOCUMENT_BYTES


@pytest.mark.parametrize(
    "example", [pytest.param(split, id="split"), pytest.param(slovenia, id="slovenia")]
)
def test_examples_as_documents(example, snapshot):
    configuration = check_document(example.configuration())
    assert isinstance(configuration, Configuration)
    assert render_document(configuration, indent=2).decode() == snapshot


def test_defaults_of_a_short_document():
    document = {
        "schema_version": 1,
        "revision": 1,
        "data_centres": [{"name": "north"}],
        "caller_groups": [
            {
                "name": "field",
                "networks": ["192.0.2.0/24"],
                "time_zone": "Europe/Zagreb",
                "windows": [{"start": "22:00", "end": "06:00", "patience_s": 2}],
            }
        ],
        "services": [
            {
                "name": "orders",
                "address": "198.51.100.1:5683",
                "upstreams": [
                    {"name": "orders-1", "data_centre": "north", "address": "203.0.113.1:5683"}
                ],
            }
        ],
    }
    configuration = parse_document(msgspec.json.encode(document))
    assert isinstance(configuration, Configuration)
    service = configuration.services[0]
    assert service.host_port == 5683
    assert (service.upstreams[0].slots, service.upstreams[0].connections) == (2, 2000)
    assert configuration.caller_groups[0].windows == (PatienceWindow(1320, 360, 2.0),)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        pytest.param("services[0].upstreams[0].slots", 7, id="service changed"),
        pytest.param("services[0].upstreams[0].slots", 0, id="wrong value"),
        pytest.param("services[1].upstreams[0].name", "stup-napajanje-1", id="name twice"),
        pytest.param("services[1].host_port", 15683, id="host_port twice"),
        pytest.param("services[1].name", "stup-napajanje", id="service name twice"),
        pytest.param("services[1].address", "203.0.113.11:5683", id="address twice"),
        pytest.param("data_centres[0].name", "split-otok", id="data centre gone, services as were"),
        pytest.param("data_centres[0].state", "out", id="data centre out"),
        pytest.param("services[2]", split.configuration()["services"][0], id="service twice"),
        pytest.param("caller_groups", DELETE, id="no caller groups"),
        pytest.param("extra", 1, id="unknown key"),
    ],
)
def test_incremental_parser_agrees_with_full_parse(path, value):
    parser = IncrementalParser()
    first = msgspec.json.encode(split.configuration())
    for text in (first, msgspec.json.encode(changed(path, value)), first):
        assert parser.parse(text) == parse_document(text)
