from __future__ import annotations

from pathlib import Path

import pytest

import banyanline
from banyanline.core.keys import KeyRing
from banyanline.core.types import Endpoint
from banyanline.settings import BalancerSettings, Delivery, SettingsError, load_settings
from banyanline.settings.example import render_example
from banyanline.settings.keys import KeyFileError, parse_keys
from banyanline.settings.reference import render_reference

EXAMPLE_PATH = Path(banyanline.__file__).parent.parent / "settings.example.ini"
REQUIRED = (
    "host.name=a-1",
    "host.data_centre=a",
    "host.address=192.0.2.1",
    "platform.addresses=192.0.2.9:8500",
)
KEY_HEX = "00112233445566778899aabbccddeeff"


def test_example_is_current_and_loads():
    assert EXAMPLE_PATH.read_text(encoding="utf-8") == render_example()
    settings = load_settings(str(EXAMPLE_PATH))
    assert isinstance(settings, BalancerSettings)
    assert settings.host.data_centre == "split-centar"
    assert settings.fabric.delivery is Delivery.VIP
    assert settings.platform.addresses[1] == Endpoint("192.0.2.101", 8500)
    assert settings.limits.flows == 400_000


def test_override_takes_precedence_over_file(tmp_path):
    path = tmp_path / "b.ini"
    path.write_text("[limits]\nflows = 7\nrequests = 8\n")
    settings = load_settings(str(path), [*REQUIRED, "limits.flows=9"])
    assert isinstance(settings, BalancerSettings)
    assert (settings.limits.flows, settings.limits.requests) == (9, 8)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        pytest.param("[limit]\nflows = 7", "[limit]: got 'limit'", id="unknown section"),
        pytest.param("[limits]\nflow = 7", "[limits] flow: got 'flow'", id="unknown key"),
        pytest.param("[limits]\nflows = x", "[limits] flows: got 'x'", id="not a number"),
        pytest.param("[limits]\nflows = 0", "[limits] flows: got '0'", id="below the range"),
        pytest.param("[limits]\nflows =", "[limits] flows: got ''", id="empty value"),
        pytest.param("[stop]\ngrace_s = nan", "[stop] grace_s: got 'nan'", id="not finite"),
        pytest.param("[fabric]\ndelivery = tcp", "one of vip, host", id="not a choice"),
        pytest.param("[log]\nlevel = info\nlevel = debug", "each key once", id="key twice"),
        pytest.param("flows = 7", "an INI file", id="key before a section"),
        pytest.param("[DEFAULT]\nflows = 7", "[DEFAULT]: got", id="default section"),
        pytest.param("[host]\nadmin_port = 7101", "other than control_port", id="port twice"),
        pytest.param("[membership]\nlease_s = 0.1", "above probe_interval_s", id="short lease"),
    ],
)
def test_error_names_file_section_and_key(tmp_path, text, expected):
    path = tmp_path / "b.ini"
    path.write_text(text)
    error = load_settings(str(path), REQUIRED)
    assert isinstance(error, SettingsError)
    assert expected in str(error)
    assert str(error).startswith(f"{path}:")
    assert "\n" not in str(error)


@pytest.mark.parametrize(
    ("override", "expected"),
    [
        pytest.param("limits.flows", "--set: got 'limits.flows'", id="no value"),
        pytest.param("flows=1", "section.key=value", id="no section"),
        pytest.param("limits.flow=1", "did you mean flows?", id="unknown key"),
        pytest.param("limits.flows=-1", "--set: [limits] flows: got '-1'", id="bad value"),
        pytest.param("host.address=a.b", "[host] address: got 'a.b'", id="not an address"),
        pytest.param("host.address=0.0.0.0", "a unicast IPv4 address", id="unspecified address"),
        pytest.param("stop.grace_s=1_0", "[stop] grace_s: got '1_0'", id="not a plain number"),
        pytest.param("platform.addresses=192.0.2.9", "ip:port", id="endpoint without port"),
    ],
)
def test_override_error(override, expected):
    error = load_settings(None, [*REQUIRED, override])
    assert isinstance(error, SettingsError)
    assert expected in str(error)


def test_missing_file_and_missing_key(tmp_path):
    assert "a readable file" in str(load_settings(str(tmp_path / "absent.ini")))
    assert "[platform] addresses: got nothing" in str(load_settings(None, REQUIRED[:-1]))


def test_first_key_signs_and_all_keys_are_kept():
    ring = parse_keys(f"# comment\n\nnew {KEY_HEX}\nold {KEY_HEX}\n")
    assert isinstance(ring, KeyRing)
    assert ring.signing.identity == "new"
    assert [key.identity for key in ring.keys] == ["new", "old"]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        pytest.param("", 0, id="no key"),
        pytest.param(f"\nnew {KEY_HEX[:-2]}", 2, id="short key"),
        pytest.param(f"new {KEY_HEX}0", 1, id="odd digits"),
        pytest.param("new " + "x" * 32, 1, id="not hexadecimal"),
        pytest.param(f"{KEY_HEX}", 1, id="no identity"),
        pytest.param(f"new {KEY_HEX}\nnew {KEY_HEX}", 2, id="identity twice"),
    ],
)
def test_key_file_error_contains_no_secret(text, line):
    error = parse_keys(text)
    assert isinstance(error, KeyFileError)
    assert error.line == line
    assert KEY_HEX[:-2] not in str(error)


def test_settings_page_is_current():
    page = EXAMPLE_PATH.parent / "docs" / "operators" / "settings.md"
    assert page.read_text(encoding="utf-8").endswith(render_reference())
