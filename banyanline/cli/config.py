"""The program ``banyanline-config``: checks, shows, compares and prints configurations."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from absl import flags

from banyanline.cli.common import (
    ExitCode,
    new_program,
    parse_command_line,
    print_error,
    run_program,
    usage_error,
)
from banyanline.cli.table import render_table
from banyanline.config import (
    MAX_DOCUMENT_BYTES,
    ConfigurationErrors,
    check_document,
    describe,
    diff,
    parse_document,
    render_document,
    to_document,
)
from banyanline.config.load_module import ModuleError, load_module_configuration
from banyanline.config.render import clock_time
from banyanline.core.model import Configuration
from banyanline.platform.validation import check_configuration, is_platform_configuration

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

JSON_INDENT = 2

PROGRAM = new_program(
    "banyanline-config",
    """
    Checks, shows, compares and prints the configuration that operators publish through
    the platform.

    Usage:
      banyanline-config check FILE      Check a configuration and print all its errors.
      banyanline-config show FILE       Show it as tables, or with --json as JSON.
      banyanline-config diff OLD NEW    Describe the effect of changing OLD to NEW.
      banyanline-config print MODULE    Run a Python module and print its configuration.

    FILE is a JSON file as written by "print", or - for standard input. "check" also
    accepts the configuration format of the operators' own platform. MODULE is the path
    of a Python file (examples/split.py) or the name of a module (examples.split) that
    has a function configuration() or a value CONFIGURATION.

    Example:
      banyanline-config print examples/split.py > split.json
      banyanline-config check split.json

    Exit status: 0 on success, 1 if an error was found, 2 for an invalid command line.
    """,
)
_JSON = flags.DEFINE_boolean(
    "json", False, "show: print JSON instead of tables.", flag_values=PROGRAM.flag_values
)
_INDENT = flags.DEFINE_boolean(
    "indent", False, "print: indent the JSON over several lines.", flag_values=PROGRAM.flag_values
)
_REVISION = flags.DEFINE_integer(
    "revision",
    None,
    "print: the revision to print instead of the module's own.",
    flag_values=PROGRAM.flag_values,
)


def _read_file(path: str) -> bytes | None:
    """Return the bytes of a file, or print the error and return None."""
    try:
        if path == "-":
            return sys.stdin.buffer.read(MAX_DOCUMENT_BYTES + 1)
        return Path(path).read_bytes()
    except OSError as error:
        print_error(PROGRAM, f"{path}: {error.strerror or error}")
        return None


def _load_configuration(path: str) -> Configuration | None:
    """Return the configuration in a file, or print its errors and return None."""
    data = _read_file(path)
    return None if data is None else _unwrap_or_print_errors(path, parse_document(data))


def _unwrap_or_print_errors(
    source: str, result: Configuration | ConfigurationErrors
) -> Configuration | None:
    if isinstance(result, ConfigurationErrors):
        for error in result.errors:
            print_error(PROGRAM, f"{source}: {error}")
        return None
    return result


def _check(path: str) -> ExitCode:
    data = _read_file(path)
    if data is None:
        return ExitCode.FAILURE
    if _is_platform_document(data):
        return _check_platform_configuration(path, data)
    configuration = _unwrap_or_print_errors(path, parse_document(data))
    if configuration is None:
        return ExitCode.FAILURE
    upstreams = sum(len(service.upstreams) for service in configuration.services)
    size = len(render_document(configuration))
    print(
        f"{path}: accepted: revision {configuration.revision}, "
        f"services: {len(configuration.services)}, upstreams: {upstreams}, "
        f"{size} of {MAX_DOCUMENT_BYTES} bytes as printed"
    )
    return ExitCode.OK


def _is_platform_document(data: bytes) -> bool:
    try:
        return is_platform_configuration(msgspec.json.decode(data))
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return False


def _check_platform_configuration(path: str, data: bytes) -> ExitCode:
    checked = check_configuration(data)
    for problem in checked.problems:
        print_error(PROGRAM, f"{path}: {problem}")
    if checked.problems:
        return ExitCode.FAILURE
    print(
        f"{path}: accepted: version {checked.version}, routes: {checked.routes}, "
        f"services: {checked.services}"
    )
    return ExitCode.OK


def _render_tables(configuration: Configuration) -> list[str]:
    data_centres = [(item.name, item.state.value) for item in configuration.data_centres]
    services = [
        (item.name, item.address, item.host_port, item.protocol.value, len(item.upstreams))
        for item in configuration.services
    ]
    upstreams = [
        (
            item.service,
            item.name,
            item.data_centre,
            item.endpoint,
            item.state.value,
            item.slots,
            item.connections,
        )
        for service in configuration.services
        for item in service.upstreams
    ]
    return [
        render_table(("data centre", "state"), data_centres),
        render_table(("service", "address", "host_port", "protocol", "upstreams"), services),
        render_table(
            ("service", "upstream", "data centre", "address", "state", "slots", "connections"),
            upstreams,
        ),
        render_table(
            ("caller group", "networks", "time zone", "hours", "patience_s"),
            _patience_rows(configuration),
        ),
    ]


def _patience_rows(configuration: Configuration) -> list[tuple[object, ...]]:
    rows: list[tuple[object, ...]] = []
    for group in configuration.caller_groups:
        networks = ",".join(group.networks)
        rows.append(
            (group.name, networks, group.time_zone, "else", f"{group.default_patience_s:g}")
        )
        for window in group.windows:
            hours = f"{clock_time(window.start_minute)}-{clock_time(window.end_minute)}"
            rows.append(("", "", "", hours, f"{window.patience_s:g}"))
    return rows


def _show(path: str) -> ExitCode:
    configuration = _load_configuration(path)
    if configuration is None:
        return ExitCode.FAILURE
    if _JSON.value:
        print(render_document(configuration, JSON_INDENT).decode())
    else:
        print(f"revision {configuration.revision}", *_render_tables(configuration), sep="\n\n")
    return ExitCode.OK


def _diff(old_path: str, new_path: str) -> ExitCode:
    old, new = _load_configuration(old_path), _load_configuration(new_path)
    if old is None or new is None:
        return ExitCode.FAILURE
    changes = diff(old, new)
    print(f"revision {old.revision} -> {new.revision}, changes: {len(changes)}")
    for change in changes:
        print(describe(change))
    if changes and new.revision <= old.revision:
        print_error(
            PROGRAM,
            f"{new_path}: revision: got {new.revision}, accepted: a whole number above "
            f"{old.revision}, as balancers never revert to an older revision",
        )
        return ExitCode.FAILURE
    return ExitCode.OK


def _print(module: str) -> ExitCode:
    value = load_module_configuration(module)
    if isinstance(value, ModuleError):
        print_error(PROGRAM, value)
        return ExitCode.FAILURE
    document: object = to_document(value) if isinstance(value, Configuration) else value
    if _REVISION.value is not None and isinstance(document, dict):
        document = {**document, "revision": _REVISION.value}
    configuration = _unwrap_or_print_errors(module, check_document(document))
    if configuration is None:
        return ExitCode.FAILURE
    data = render_document(configuration, JSON_INDENT if _INDENT.value else 0)
    if len(data) > MAX_DOCUMENT_BYTES:
        accepted = f"at most {MAX_DOCUMENT_BYTES} bytes"
        print_error(PROGRAM, f"{module}: document: got {len(data)} bytes, accepted: {accepted}")
        return ExitCode.FAILURE
    print(data.decode())
    return ExitCode.OK


_COMMANDS: dict[str, tuple[Callable[..., ExitCode], int]] = {
    "check": (_check, 1),
    "show": (_show, 1),
    "diff": (_diff, 2),
    "print": (_print, 1),
}
"""The function of each command, and the number of its arguments."""


def main(argv: Sequence[str]) -> int:
    """Run the program with ``argv`` and return the exit status."""
    arguments = parse_command_line(PROGRAM, argv)
    if isinstance(arguments, ExitCode):
        return arguments
    known = ", ".join(_COMMANDS)
    if not arguments:
        return usage_error(PROGRAM, f"got no command, accepted: {known}")
    name, *rest = arguments
    if name not in _COMMANDS:
        return usage_error(PROGRAM, f"got command {name!r}, accepted: {known}")
    command, count = _COMMANDS[name]
    if len(rest) != count:
        return usage_error(PROGRAM, f"{name} takes {count} argument(s), got {len(rest)}")
    return command(*rest)


def run() -> None:
    """Run the program with the arguments of the process, and exit."""
    run_program(main)
