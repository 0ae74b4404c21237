"""The command line: `meadowworks COMMAND ...`. A command's module is imported only when it is asked for."""

from __future__ import annotations

import contextlib
import importlib
import io
import os
import sys
from collections.abc import Sequence
from typing import NamedTuple

from meadowworks.cli.errors import CommandError as CommandError

EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130  # as a shell reports SIGINT
EXIT_BROKEN_PIPE = 141  # as a shell reports SIGPIPE


class Command(NamedTuple):
    """Where a command's function stands, and one line on what it does."""

    module: str
    function: str
    summary: str


COMMANDS = {
    "check": Command("meadowworks.modelcheck.commands", "check", "explore all states of the state machines"),
    "days": Command("meadowworks.simulation.bench_days", "days", "play recorded scenarios in a simulator"),
    "lab": Command("meadowworks.simulation.commands", "lab", "simulate and measure the state machines"),
    "local": Command("meadowworks.local.commands", "local", "start a small gateway here, to try it"),
    "status": Command("meadowworks.cli.status", "status", "what a node knows"),
    "why": Command("meadowworks.cli.why", "why", "what a proxy's load balancing of a service rests on"),
    "members": Command("meadowworks.cli.members", "members", "who votes, and why a node does not"),
    "nodes": Command("meadowworks.cli.lists", "nodes", "the nodes that a control-plane node knows"),
    "backends": Command("meadowworks.cli.lists", "backends", "the backends that a node knows"),
    "config": Command("meadowworks.cli.config", "config", "check, put, get or diff a configuration"),
    "rude": Command("meadowworks.local.hostile_clients", "rude", "slow and hostile clients against a proxy"),
    "settings": Command("meadowworks.cli.settings", "settings", "check a settings file of a node"),
}
USAGE = "usage: meadowworks COMMAND [OPTION ...]; without one the fleet controller runs, as NODE_CONFIG says"


def usage_text() -> str:
    """Return the usage and a line for each command."""
    summaries = [f"  {name:8} {command.summary}" for name, command in COMMANDS.items()]
    return "\n".join([USAGE, "", *summaries, "", "Each command has --help."])


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command.

    :param arguments: the process's own if None.
    :returns: the exit code: 0 when all holds, 1 when what the command asks does not, 2 on bad input, 141 when
        the reader of the output has gone.
    """
    try:
        status = run_command(sys.argv[1:] if arguments is None else arguments)
        sys.stdout.flush()
    except BrokenPipeError:
        return discard_output()
    return status


def run_command(arguments: Sequence[str]) -> int:
    """Run the command that the first argument names; return its exit code."""
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(usage_text())
        return 0
    name, *rest = arguments
    if name not in COMMANDS:
        return report_error(f"there is no command {name!r}: there are {', '.join(COMMANDS)}")
    try:
        return _invoke(name, rest)
    except (CommandError, ValueError) as error:
        return report_error(str(error))
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def _invoke(name: str, arguments: Sequence[str]) -> int:
    command = COMMANDS[name]
    try:
        function = getattr(importlib.import_module(command.module), command.function)
        import cappa
        from rich.console import Console
    except ModuleNotFoundError as error:
        needed = f"{error.name}, which is not installed: pip install 'meadowworks[tools]'"
        return report_error(f"{name} needs {needed}")
    quiet = cappa.Output(error_console=Console(file=io.StringIO()))  # an error is one line of `report_error`
    try:
        status = cappa.invoke(
            cappa.command(name=f"meadowworks {name}")(function),
            argv=list(arguments),
            output=quiet,
            completion=False,
        )
    except cappa.Exit as exit_:
        if not exit_.code:
            return 0
        return report_error(f"{exit_.message}; `meadowworks {name} --help` tells the usage")
    return status if isinstance(status, int) else 0


def discard_output() -> int:
    """Send what is still to be printed nowhere, at the process's end too; return the exit code."""
    with contextlib.suppress(OSError, ValueError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return EXIT_BROKEN_PIPE


def report_error(reason: str) -> int:
    """Print an error as one line; return the exit code of bad input."""
    print(f"meadowworks: {' '.join(reason.split())}", file=sys.stderr)
    return EXIT_BAD_INPUT


if __name__ == "__main__":
    sys.exit(main())
