from __future__ import annotations

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from banyanline.config import (
    ConfigurationErrors,
    IncrementalParser,
    check_document,
    diff,
    parse_document,
    render_document,
)
from banyanline.core.model import Configuration
from examples import split

SETTINGS = settings(max_examples=100, deadline=None, derandomize=True)

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["in_service", "out", "split-jug", "192.0.2.1:1", "10.0.0.0/8", "22:00"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["name", "state", "slots", "upstreams", "windows", "x"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def value_paths(value: object, path: tuple[str | int, ...] = ()) -> list[tuple[str | int, ...]]:
    """Return the paths of all values inside a JSON value."""
    found = [path] if path else []
    if isinstance(value, dict):
        for key, item in value.items():
            found += value_paths(item, (*path, key))
    elif isinstance(value, list):
        for idx, item in enumerate(value):
            found += value_paths(item, (*path, idx))
    return found


VALUE_PATHS = value_paths(split.configuration())


@SETTINGS
@given(st.binary(max_size=200))
def test_random_bytes_never_raise(data):
    assert isinstance(parse_document(data), ConfigurationErrors)


@SETTINGS
@given(JSON_VALUES)
def test_json_values_never_raise(value):
    assert isinstance(check_document(value), ConfigurationErrors)


EDITS = st.lists(st.tuples(st.sampled_from(VALUE_PATHS), JSON_VALUES), min_size=1, max_size=3)


def edited(edits):
    """Return the Split example with the values at the given paths replaced."""
    document = msgspec.json.decode(msgspec.json.encode(split.configuration()))
    for (*parents, last), value in edits:
        target = document
        for key in parents:
            if not isinstance(target, dict | list):
                break
            target = (
                target.get(key) if isinstance(target, dict) else dict(enumerate(target)).get(key)
            )
        if isinstance(target, dict) or (isinstance(target, list) and last in range(len(target))):
            target[last] = value
    return document


@SETTINGS
@given(EDITS)
def test_changed_example_never_raises_and_round_trips(edits):
    result = check_document(edited(edits))
    if isinstance(result, ConfigurationErrors):
        assert all(error.accepted for error in result.errors)
        assert str(result)
    else:
        assert parse_document(render_document(result)) == result


NAMES = st.text("abcdefghij-", min_size=1, max_size=6).filter(lambda text: text[0] != "-")


@st.composite
def documents(draw):
    data_centres = draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    services = draw(st.lists(NAMES, max_size=4, unique=True))
    states = st.sampled_from(["in_service", "leaving"])
    port = iter(range(1, 1000))
    return {
        "schema_version": 1,
        "revision": draw(st.integers(1, 2**53 - 1)),
        "data_centres": [
            {"name": name, "state": draw(st.sampled_from(["in_service", "out"]))}
            for name in data_centres
        ],
        "caller_groups": [
            {
                "name": f"group-{number}",
                "networks": [f"10.{number}.0.0/16"],
                "time_zone": draw(st.sampled_from(["Europe/Zagreb", "UTC", "Asia/Kathmandu"])),
                "default_patience_s": draw(st.floats(0.001, 45)),
                "windows": [
                    {"start": f"{hour:02}:00", "end": f"{hour:02}:30", "patience_s": 1.5}
                    for hour in draw(st.sets(st.integers(0, 23), max_size=3))
                ],
            }
            for number in range(draw(st.integers(0, 3)))
        ],
        "services": [
            {
                "name": service,
                "address": f"198.51.100.1:{next(port)}",
                "host_port": next(port),
                "protocol": draw(st.sampled_from(["coap", "udp"])),
                "cold_start": {"duration_s": draw(st.floats(0, 60))},
                "upstreams": [
                    {
                        "name": f"{service}.{number}",
                        "data_centre": draw(st.sampled_from(data_centres)),
                        "address": f"203.0.113.1:{next(port)}",
                        "state": draw(states),
                        "slots": draw(st.integers(1, 10_000)),
                    }
                    for number in range(draw(st.integers(1, 4)))
                ],
            }
            for service in services
        ],
    }


@SETTINGS
@given(st.lists(documents() | EDITS.map(edited), max_size=6), st.data())
def test_incremental_parser_agrees_with_the_full_parse(sequence, data):
    sequence = [split.configuration(), *sequence, split.configuration()]
    parser = IncrementalParser()
    for document in data.draw(st.permutations(sequence)):
        text = msgspec.json.encode(document)
        assert parser.parse(text) == parse_document(text)


@SETTINGS
@given(documents())
def test_valid_documents_round_trip(document):
    configuration = check_document(document)
    assert isinstance(configuration, Configuration), configuration
    assert parse_document(render_document(configuration)) == configuration
    assert diff(configuration, configuration) == []
