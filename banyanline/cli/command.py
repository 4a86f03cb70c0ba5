"""What the programs share: flags, help, version and exit codes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple, NoReturn

from absl import flags

from banyanline import __version__

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

HELP_WORDS = frozenset({"--help", "-help", "-h", "-?"})
VERSION_WORDS = frozenset({"--version", "-version"})


class Command(NamedTuple):
    """A program: its name, its help text, and the module whose flags it has."""

    name: str
    help_text: str
    module: str


def run_command(
    command: Command,
    main: Callable[[list[str]], int],
    argv: Sequence[str] | None = None,
) -> NoReturn:
    """Parse the flags in ``argv``, call ``main`` with the other words, and exit with its code.

    A wrong flag is one line on stderr and exit code ``EXIT_USAGE``.
    """
    words = list(sys.argv if argv is None else argv)
    if HELP_WORDS.intersection(words[1:]):
        print(command.help_text.strip())
        print("\nFlags:\n" + flags.FLAGS.module_help(command.module).strip().partition("\n")[2])
        sys.exit(EXIT_OK)
    if VERSION_WORDS.intersection(words[1:]):
        print(f"{command.name} {__version__}")
        sys.exit(EXIT_OK)
    flags.FLAGS.set_gnu_getopt(True)
    try:
        rest = flags.FLAGS(words)
    except flags.Error as error:
        print_error(command, str(error))
        sys.exit(EXIT_USAGE)
    sys.exit(main(rest[1:]))


def print_error(command: Command, message: str) -> None:
    """Print one line on stderr that starts with the program's name."""
    print(f"{command.name}: {' '.join(message.split())}", file=sys.stderr)
