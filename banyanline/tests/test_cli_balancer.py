from __future__ import annotations

import pytest

import banyanline
from banyanline.cli.balancer import main
from banyanline.cli.common import ExitCode
from banyanline.platform.early_start import SETTINGS_PATH_VARIABLE

PROGRAM = "banyanline-balancer"
GOOD = """[host]
name = a-1
data_centre = a
address = 127.0.0.1
[platform]
addresses = 127.0.0.1:8500
[keys]
file = absent.key
"""


@pytest.fixture(autouse=True)
def files(tmp_path, monkeypatch):
    """Write settings and key files to the working directory."""
    monkeypatch.chdir(tmp_path)
    texts = {
        "good.ini": GOOD,
        "number.ini": GOOD + "[limits]\nflows = many\n",
        "address.ini": GOOD.replace("127.0.0.1:8500", "platform"),
        "key.ini": GOOD + "[limits]\nflow = 7\n",
        "section.ini": GOOD + "[limit]\nflows = 7\n",
        "nameless.ini": GOOD.replace("name = a-1\n", ""),
        "broken.ini": "flows = 7\n",
        "weak.key": "k 0011\n",
    }
    for name, text in texts.items():
        (tmp_path / name).write_text(text)


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        pytest.param(
            ["--settings=number.ini"],
            ["number.ini: [limits] flows: got 'many', accepted: a whole number"],
            id="value",
        ),
        pytest.param(
            ["--settings=address.ini"],
            ["address.ini: [platform] addresses: got 'platform', accepted: "],
            id="address",
        ),
        pytest.param(
            ["--settings=key.ini"], ["key.ini: [limits] flow: got 'flow', accepted: "], id="key"
        ),
        pytest.param(
            ["--settings=section.ini"],
            ["section.ini: [limit]: got 'limit', accepted: "],
            id="section",
        ),
        pytest.param(
            ["--settings=nameless.ini"],
            ["nameless.ini: [host] name: got nothing, accepted: "],
            id="required key missing",
        ),
        pytest.param(["--settings=broken.ini"], ["broken.ini", "accepted: "], id="not an INI file"),
        pytest.param(["--settings=absent.ini"], ["absent.ini"], id="no such settings file"),
        pytest.param(
            ["--settings=good.ini", "--set", "limits.flows=0"],
            ["[limits] flows: got '0', accepted: "],
            id="override",
        ),
        pytest.param(["--settings=good.ini"], ["absent.key", "No such file"], id="no key file"),
        pytest.param(
            ["--settings=good.ini", "--set", "keys.file=weak.key"], ["weak.key: "], id="weak key"
        ),
        pytest.param([], ["--settings FILE is missing"], id="no settings"),
        pytest.param(["--settings=good.ini", "more"], ["'more'"], id="argument"),
    ],
)
def test_invalid_input_prints_one_line_and_exits_with_status_2(capsys, arguments, expected):
    assert main([PROGRAM, *arguments]) == ExitCode(2)
    captured = capsys.readouterr()
    assert captured.out == ""
    assert len(captured.err.splitlines()) == 1
    assert captured.err.startswith(f"{PROGRAM}: ")
    assert all(part in captured.err for part in expected)
    assert "0011" not in captured.err


def test_version(capsys):
    assert main([PROGRAM, "--version"]) == ExitCode.OK
    assert banyanline.__version__ in capsys.readouterr().out


def test_without_settings_flag_runs_on_platform_if_boot_variable_is_set(
    monkeypatch, tmp_path, capfd
):
    path = tmp_path / "settings.toml"
    path.write_text("node_name = 7")
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    assert main([PROGRAM]) == 2
    assert "node_name" in capfd.readouterr().err
    monkeypatch.delenv(SETTINGS_PATH_VARIABLE)
    assert main([PROGRAM]) == 2
    assert "--settings FILE is missing" in capfd.readouterr().err
