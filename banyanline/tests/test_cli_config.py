from __future__ import annotations

import json
from pathlib import Path

import pytest

import banyanline
from banyanline.cli.common import ExitCode
from banyanline.cli.config import main
from banyanline.config import check_document, render_document
from banyanline.core.model import Configuration
from examples import split

ROOT = Path(banyanline.__file__).parent.parent
PROGRAM = "banyanline-config"


@pytest.fixture
def files(tmp_path, monkeypatch):
    """Write documents and modules, valid and invalid, to the working directory."""
    monkeypatch.chdir(tmp_path)
    good = check_document(split.configuration(revision=5))
    assert isinstance(good, Configuration)
    later = check_document(split.configuration(revision=6))
    assert isinstance(later, Configuration)
    broken = split.configuration()
    broken["services"][0]["upstreams"][2]["slots"] = 0
    texts = {
        "good.json": render_document(good),
        "later.json": render_document(later._replace(services=later.services[:1])),
        "broken.json": json.dumps(broken).encode(),
        "garbage.json": b"\xff{",
        "plain.py": b"CONFIGURATION = {'revision': 1}\n",
        "prints.py": b"from examples.split import configuration\nprint('noise')\n",
        "raises.py": b"def configuration():\n    return 1 / 0\n",
        "syntax.py": b"\n\ndef:\n",
        "empty.py": b"",
        "exits.py": b"raise SystemExit('no')\n",
        "helper.py": b"NAME = 'north'\n",
        "imports.py": b"import helper\nCONFIGURATION = helper.NAME\n",
    }
    for name, data in texts.items():
        (tmp_path / name).write_bytes(data)
    return tmp_path


@pytest.mark.parametrize(
    ("arguments", "code", "out", "err"),
    [
        pytest.param(
            ["check", "good.json"], 0, "accepted: revision 5, services: 2", "", id="check"
        ),
        pytest.param(
            ["check", "broken.json"],
            1,
            "",
            "broken.json: services[0].upstreams[2].slots: got 0, accepted: a whole number",
            id="check broken",
        ),
        pytest.param(["check", "garbage.json"], 1, "", "garbage.json: document", id="garbage"),
        pytest.param(["check", "absent.json"], 1, "", "absent.json: No such file", id="absent"),
        pytest.param(["show", "good.json"], 0, "stup-napajanje-7", "", id="show"),
        pytest.param(["show", "good.json", "--json"], 0, '  "revision": 5', "", id="show json"),
        pytest.param(
            ["diff", "good.json", "later.json"],
            0,
            "revision 5 -> 6, changes: 1\nservice raspored-izlaz: removed",
            "",
            id="diff",
        ),
        pytest.param(
            ["diff", "later.json", "good.json"],
            1,
            "service raspored-izlaz: added",
            "good.json: revision: got 5, accepted: a whole number above 6",
            id="diff backwards",
        ),
        pytest.param(["print", "examples.split"], 0, '"schema_version":1', "", id="print name"),
        pytest.param(
            ["print", str(ROOT / "examples" / "slovenia.py"), "--revision=8"],
            0,
            '"revision":8',
            "",
            id="print path",
        ),
        pytest.param(["print", "plain.py"], 1, "", "plain.py: schema_version: got", id="bad value"),
        pytest.param(["print", "raises.py"], 1, "", "raises.py:2: ZeroDivision", id="raises"),
        pytest.param(["print", "syntax.py"], 1, "", "syntax.py:3: SyntaxError", id="syntax"),
        pytest.param(["print", "empty.py"], 1, "", "empty.py: has neither", id="nothing in it"),
        pytest.param(["print", "exits.py"], 1, "", "exits.py:1: SystemExit: no", id="exits"),
        pytest.param(["print", "imports.py"], 1, "", "got 'north', accepted", id="imports"),
        pytest.param(["print", "absent.py"], 1, "", "absent.py: FileNotFound", id="no such file"),
        pytest.param(["print", "absent_module"], 1, "", "ModuleNotFound", id="no such module"),
        pytest.param([], 2, "", "got no command", id="no command"),
        pytest.param(["chek"], 2, "", "got command 'chek', accepted: check, show", id="command"),
        pytest.param(["diff", "good.json"], 2, "", "diff takes 2", id="argument missing"),
        pytest.param(["check", "--jsn", "good.json"], 2, "", "jsn", id="unknown flag"),
        pytest.param(["--version"], 0, banyanline.__version__, "", id="version"),
        pytest.param(["--help"], 0, "Exit status:", "", id="help"),
    ],
)
def test_command(files, capsys, arguments, code, out, err):
    assert main([PROGRAM, *arguments]) == ExitCode(code)
    captured = capsys.readouterr()
    assert out in captured.out
    assert err in captured.err
    assert bool(captured.err) == bool(err)
    assert all(line.startswith(f"{PROGRAM}: ") for line in captured.err.splitlines())


def test_check_accepts_output_of_print(files, capsys):
    assert main([PROGRAM, "print", "prints.py", "--indent"]) == ExitCode.OK
    Path("printed.json").write_text(capsys.readouterr().out)
    assert main([PROGRAM, "check", "printed.json"]) == ExitCode.OK


def test_help_and_tables(files, capsys, snapshot):
    main([PROGRAM, "--help"])
    main([PROGRAM, "show", "good.json"])
    assert capsys.readouterr().out == snapshot
