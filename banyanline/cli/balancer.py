"""The program ``banyanline-balancer``: runs one balancer with all its roles."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Sequence
from pathlib import Path

import structlog

from banyanline.cli import steering
from banyanline.cli.common import (
    ExitCode,
    define_settings_flags,
    load_program_settings,
    new_program,
    parse_command_line,
    print_error,
    run_program,
    usage_error,
)
from banyanline.core.invariants import InvariantError
from banyanline.core.keys import KeyRing
from banyanline.net.balancer import Balancer
from banyanline.net.logs import configure_logs, log_loop_error
from banyanline.platform.host_settings import settings_path
from banyanline.settings import BalancerSettings, KeyFileError, SettingsError, parse_keys

_PROGRAM = new_program(
    "banyanline-balancer",
    """
    banyanline-balancer --settings FILE [--set section.key=value ...]

    Runs one balancer of the fleet. It receives callers' datagrams, makes the decisions
    for flows of which it is the home, and sends to the upstreams that it owns.
    settings.example.ini lists all settings.

    Without --settings it runs on the operators' platform if BANYANLINE_BOOT names a
    settings file. banyanline.cli.steering does the same and starts faster.

    SIGTERM and SIGINT start a graceful shutdown that interrupts no request and takes at
    most stop.grace_s. A second signal ends the program at once.

    Exit status: 0 after a stop by a signal, 1 if a socket could not be bound or an
    invariant was violated, 2 for an invalid command line, setting or key file.
    """,
)
define_settings_flags(_PROGRAM)

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = structlog.get_logger()


def _read_keys(path: str) -> KeyRing | str:
    try:
        keys = parse_keys(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return f"{path}: {error}"
    return f"{path}: {keys}" if isinstance(keys, KeyFileError) else keys


async def _serve(settings: BalancerSettings, keys: KeyRing) -> ExitCode:
    balancer = Balancer(settings, keys)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(log_loop_error)
    stop = asyncio.Event()
    abort = asyncio.Event()

    def on_signal() -> None:
        (abort if stop.is_set() else stop).set()

    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, on_signal)
    try:
        return await _run(balancer, stop, abort)
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            # A signal that comes now would end the process with a status other than its own.
            signal.signal(number, signal.SIG_IGN)


async def _run(balancer: Balancer, stop: asyncio.Event, abort: asyncio.Event) -> ExitCode:
    try:
        await balancer.start()
    except OSError as error:
        print_error(_PROGRAM, error)
        return ExitCode.FAILURE
    return await _run_until_stopped(balancer, stop, abort)


async def _run_until_stopped(
    balancer: Balancer, stop: asyncio.Event, abort: asyncio.Event
) -> ExitCode:
    failure = asyncio.ensure_future(balancer.wait_for_failure())
    stop_requested = asyncio.ensure_future(stop.wait())
    await asyncio.wait({failure, stop_requested}, return_when=asyncio.FIRST_COMPLETED)
    if not failure.done():
        shutdown = asyncio.ensure_future(balancer.stop())
        abort_requested = asyncio.ensure_future(abort.wait())
        await asyncio.wait(
            {failure, shutdown, abort_requested}, return_when=asyncio.FIRST_COMPLETED
        )
        if not shutdown.done() and abort_requested.done():
            shutdown.cancel()
            await asyncio.wait({shutdown})
            await balancer.abort()
        if abort_requested.done() or shutdown.done():
            return ExitCode.OK
    error = failure.exception()
    assert isinstance(error, InvariantError)
    log.error("invariant_broken", rule=str(error))
    return ExitCode.FAILURE


def main(argv: Sequence[str]) -> int:
    """Run the balancer and return its exit status."""
    arguments = parse_command_line(_PROGRAM, argv)
    if isinstance(arguments, ExitCode):
        return arguments
    if arguments:
        return usage_error(_PROGRAM, f"unexpected argument {arguments[0]!r}")
    if _PROGRAM.flag_values["settings"].value is None:
        if settings_path() is not None:
            return steering.main()
        return usage_error(_PROGRAM, "--settings FILE is missing")
    settings = load_program_settings(_PROGRAM)
    if isinstance(settings, SettingsError):
        print_error(_PROGRAM, settings)
        return ExitCode.USAGE
    keys = _read_keys(settings.keys.file)
    if isinstance(keys, str):
        print_error(_PROGRAM, keys)
        return ExitCode.USAGE
    configure_logs(
        settings.log.level,
        host=settings.host.name,
        lines_per_s=settings.limits.log_lines_per_s,
    )
    return asyncio.run(_serve(settings, keys))


def run() -> None:
    """Run the program with the arguments of the process, and exit."""
    run_program(main)


if __name__ == "__main__":
    run()
