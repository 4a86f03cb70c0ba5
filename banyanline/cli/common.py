"""Shared parts of the command-line programs: flags, help, one-line errors, exit statuses.

Each program has its own ``FlagValues``, so that ``--help`` shows only its flags and
tests can run it repeatedly in one process.
"""

from __future__ import annotations

import os
import sys
import textwrap
from enum import IntEnum
from typing import TYPE_CHECKING, NamedTuple

from absl import flags

from banyanline import __version__
from banyanline.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from banyanline.settings import BalancerSettings, SettingsError

_HELP_WIDTH = 88
_FLAG_INDENT = " " * 6


class ExitCode(IntEnum):
    """Exit status of the programs."""

    OK = 0
    FAILURE = 1
    USAGE = 2


class Program(NamedTuple):
    """The name, the help text and the flags of a program."""

    name: str
    help: str
    flag_values: flags.FlagValues


def new_program(name: str, help_text: str) -> Program:
    """Return a program with the flags ``--help`` and ``--version``."""
    values = flags.FlagValues()
    values.set_gnu_getopt(True)
    flags.DEFINE_boolean("help", False, "Show this help.", short_name="h", flag_values=values)
    flags.DEFINE_boolean("version", False, "Show the version.", flag_values=values)
    return Program(name, textwrap.dedent(help_text).strip(), values)


def define_settings_flags(program: Program) -> None:
    """Add ``--settings FILE`` and ``--set section.key=value`` to a program."""
    values = program.flag_values
    flags.DEFINE_string(
        "settings", None, "The INI file with the settings of this balancer.", flag_values=values
    )
    flags.DEFINE_multi_string(
        "set", [], "section.key=value: overrides the file; may be repeated.", flag_values=values
    )


def load_program_settings(program: Program) -> BalancerSettings | SettingsError:
    """Load the settings given by ``--settings`` and ``--set``."""
    values = program.flag_values
    return load_settings(values["settings"].value, values["set"].value)


def print_error(program: Program, message: object) -> None:
    """Print an error as one line, prefixed with the program's name."""
    print(f"{program.name}: {message}", file=sys.stderr)


def usage_error(program: Program, message: object) -> ExitCode:
    """Print an error in the command line and return the exit status for it."""
    print_error(program, f"{message}; see {program.name} --help")
    return ExitCode.USAGE


def _format_flag(flag: flags.Flag[object]) -> str:
    short = f"-{flag.short_name}, " if flag.short_name else ""
    argument = "" if flag.boolean else f"={flag.name.upper()}"
    return f"  {short}--{flag.name}{argument}"


def render_help(program: Program) -> str:
    """Return the text printed by ``--help``."""
    values = program.flag_values
    lines = [program.help, "", "Flags:"]
    for name in sorted(name for name in values if values[name].name == name):
        flag = values[name]
        default = "" if flag.boolean or not flag.default else f" Default: {flag.value}."
        lines.append(_format_flag(flag))
        lines += textwrap.wrap(
            f"{flag.help}{default}",
            _HELP_WIDTH,
            initial_indent=_FLAG_INDENT,
            subsequent_indent=_FLAG_INDENT,
        )
    return "\n".join(lines)


def parse_command_line(program: Program, argv: Sequence[str]) -> list[str] | ExitCode:
    """Parse the flags; return the positional arguments, or an exit status if done.

    ``argv`` starts with the name under which the program was called.
    """
    values = program.flag_values
    values.unparse_flags()
    for name in values:
        values[name].unparse()
    try:
        arguments: list[str] = values(list(argv))[1:]
    except flags.Error as error:
        return usage_error(program, error)
    if values["help"].value:
        print(render_help(program))
        return ExitCode.OK
    if values["version"].value:
        print(f"{program.name} {__version__}")
        return ExitCode.OK
    return arguments


def run_program(main: Callable[[Sequence[str]], int]) -> None:
    """Run ``main`` with the arguments of the process and exit with its exit status."""
    try:
        code = main(sys.argv)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, for example head(1), has closed the pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.FAILURE
    sys.exit(code)
