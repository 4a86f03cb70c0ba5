from __future__ import annotations

import pytest

from banyanline.core.types import Endpoint
from banyanline.platform.early_start import SETTINGS_PATH_VARIABLE, bind_packet_socket
from banyanline.platform.host_settings import (
    HostSettings,
    HostSettingsError,
    parse_settings,
    read_settings,
    settings_path,
)

EXAMPLE = """\
node_name = "front-split-jug-1"
role = "balancer"
zone = "split-jug"
internal_port_range = [7720,7735]
seeds = ["10.1.0.10:8166","10.2.0.40:8166"]
heartbeat_ms = 770
a_field_to_come = { a = 1 }
[listen]
datagram_address = "10.1.0.10:8172"
ready = "10.1.0.10:8167"
control = "10.1.0.10:8166"
[limits]
link_mbps = 10
[bounds]
contact_ms = 4000
grace_s = 6
max_flow_s = 60
cold_overage = 1.5
[platform]
address = "10.200.1.7:8169"
"""


def test_the_example_is_parsed():
    settings = parse_settings(EXAMPLE)
    assert isinstance(settings, HostSettings)
    assert settings.host == "front-split-jug-1"
    assert settings.data_centre == "split-jug"
    assert settings.packets == Endpoint("10.1.0.10", 8172)
    assert settings.readiness == Endpoint("10.1.0.10", 8167)
    assert settings.control == Endpoint("10.1.0.10", 8166)
    assert settings.store == Endpoint("10.200.1.7", 8169)
    assert settings.seeds == (Endpoint("10.1.0.10", 8166), Endpoint("10.2.0.40", 8166))
    assert settings.internal_ports == range(7720, 7736)
    assert (settings.contact_s, settings.stop_grace_s, settings.heartbeat_s) == (4.0, 6.0, 0.77)
    assert settings.link_mbps == 10.0


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        pytest.param('zone = "split-jug"\n', "", "zone", id="missing"),
        pytest.param('zone = "split-jug"', "zone = 7", "zone", id="wrong type"),
        pytest.param("10.1.0.10:8172", "host:8172", "listen.datagram_address", id="a name"),
        pytest.param("10.1.0.10:8167", "10.1.0.10:0", "listen.ready", id="port 0"),
        pytest.param("10.1.0.10:8167", "10.1.0.10:99999", "listen.ready", id="large port"),
        pytest.param("10.1.0.10:8167", "10.1.0.10", "listen.ready", id="no port"),
        pytest.param("10.200.1.7:8169", "10.200.1.777:8169", "platform.address", id="large byte"),
        pytest.param("10.200.1.7:8169", "", "platform.address", id="empty address"),
        pytest.param("[platform]", "[platform", "line", id="not TOML"),
    ],
)
def test_an_error_names_its_field_in_one_line(old, new, expected):
    error = parse_settings(EXAMPLE.replace(old, new))
    assert isinstance(error, HostSettingsError)
    assert expected in str(error)
    assert "\n" not in str(error)


@pytest.mark.parametrize(
    ("old", "new", "path"),
    [
        pytest.param("10.2.0.40:8166", "seed", "seeds[1]", id="seed"),
        pytest.param('"10.2.0.40:8166"', "7", "seeds[1]", id="seed as number"),
        pytest.param("[7720,7735]", "[7735,7720]", "internal_port_range", id="ports reversed"),
        pytest.param("[7720,7735]", "[7720]", "internal_port_range", id="one port"),
        pytest.param("heartbeat_ms = 770", "heartbeat_ms = 0", "heartbeat_ms", id="no heartbeat"),
        pytest.param("heartbeat_ms = 770", 'heartbeat_ms = "x"', "heartbeat_ms", id="text"),
        pytest.param("contact_ms = 4000", 'contact_ms = "x"', "bounds.contact_ms", id="bound"),
        pytest.param("grace_s = 6", "grace_s = [6]", "bounds.grace_s", id="bound as list"),
        pytest.param("contact_ms = 4000", "contact_ms = inf", "bounds.contact_ms", id="infinite"),
        pytest.param("contact_ms = 4000", "contact_ms = nan", "bounds.contact_ms", id="no number"),
        pytest.param("contact_ms = 4000", "contact_ms = -1", "bounds.contact_ms", id="negative"),
        pytest.param("link_mbps = 10", "link_mbps = 0", "limits.link_mbps", id="link"),
    ],
)
def test_an_unreadable_optional_field_is_reported_and_the_host_serves(old, new, path):
    settings = parse_settings(EXAMPLE.replace(old, new))
    assert isinstance(settings, HostSettings)
    assert [defect.path for defect in settings.defects] == [path]
    assert settings.packets == Endpoint("10.1.0.10", 8172)
    assert settings.seeds[0] == Endpoint("10.1.0.10", 8166)
    assert settings.heartbeat_s > 0
    assert settings.link_mbps > 0
    assert (settings.contact_s, settings.stop_grace_s) == (4.0, 6.0)


@pytest.mark.parametrize(
    "content",
    [pytest.param(None, id="no file"), pytest.param(b"\xff\xfe", id="not UTF-8")],
)
def test_unreadable_files_are_errors(tmp_path, content):
    path = tmp_path / "settings.toml"
    if content is not None:
        path.write_bytes(content)
    error = read_settings(path)
    assert isinstance(error, HostSettingsError)
    assert str(path) in str(error)


def test_the_path_comes_from_the_environment(monkeypatch, tmp_path):
    monkeypatch.delenv(SETTINGS_PATH_VARIABLE, raising=False)
    assert settings_path() is None
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(tmp_path / "settings.toml"))
    assert settings_path() == tmp_path / "settings.toml"


def test_the_packet_socket_is_bound_early(monkeypatch, tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(EXAMPLE.replace("10.1.0.10:8172", "127.0.0.1:0"))
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    sock = bind_packet_socket()
    assert sock is not None
    assert sock.getsockname()[0] == "127.0.0.1"
    sock.close()


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(None, id="no file"),
        pytest.param("][", id="not TOML"),
        pytest.param("listen = 7", id="no table"),
        pytest.param("[listen]\ndatagram_address = 7", id="a number"),
        pytest.param('[listen]\ndatagram_address = "127.0.0.1"', id="no port"),
        pytest.param('[listen]\ndatagram_address = "127.0.0.1:99999"', id="large port"),
        pytest.param('[listen]\ndatagram_address = "192.0.2.1:80"', id="not an own address"),
    ],
)
def test_no_socket_is_bound_early_without_a_usable_address(monkeypatch, tmp_path, text):
    path = tmp_path / "settings.toml"
    if text is not None:
        path.write_text(text)
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    assert bind_packet_socket() is None
