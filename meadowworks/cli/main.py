"""The command line, `meadowworks COMMAND ...`. A command's module is imported when the command runs."""

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
EXIT_INTERRUPTED = 130  # the exit code of a shell after SIGINT
EXIT_BROKEN_PIPE = 141  # the exit code of a shell after SIGPIPE


class Command(NamedTuple):
    """The module and function of a command, and a summary in one line."""

    module: str
    function: str
    summary: str


COMMANDS = {
    "check": Command("meadowworks.modelcheck.commands", "check", "explore all states of the state machines"),
    "days": Command("meadowworks.simulation.bench_days", "days", "replay recorded scenarios in a simulator"),
    "lab": Command("meadowworks.simulation.commands", "lab", "simulate and measure the state machines"),
    "local": Command("meadowworks.local.commands", "local", "start a small gateway on this machine"),
    "status": Command("meadowworks.cli.status", "status", "print a node's status, or a table of all nodes"),
    "why": Command("meadowworks.cli.why", "why", "explain a proxy's load balancing of a service"),
    "members": Command(
        "meadowworks.cli.members", "members", "list the voting members, and why a node is not one"
    ),
    "nodes": Command("meadowworks.cli.lists", "nodes", "list the nodes in a control-plane node's view"),
    "backends": Command("meadowworks.cli.lists", "backends", "list the backends in a node's view"),
    "config": Command("meadowworks.cli.config", "config", "check, put, get or diff a configuration"),
    "rude": Command(
        "meadowworks.local.hostile_clients", "rude", "run slow and hostile clients against a proxy"
    ),
    "settings": Command("meadowworks.cli.settings", "settings", "check a node's settings file"),
    "soak": Command(
        "meadowworks.local.soak.command", "soak", "disturb a control plane while applications use it"
    ),
}
USAGE = "usage: meadowworks COMMAND [OPTION ...]; without COMMAND, the fleet controller of NODE_CONFIG runs"


def usage_text() -> str:
    """Return the usage and a summary of each command."""
    summaries = [f"  {name:8} {command.summary}" for name, command in COMMANDS.items()]
    return "\n".join([USAGE, "", *summaries, "", "Each command has --help."])


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command.

    :param arguments: the arguments of the process if None.
    :returns: the exit code: 0 on success, 1 if the command's check fails, 2 on invalid input, 141 if standard
        output is closed.
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
    name, *command_arguments = arguments
    if name not in COMMANDS:
        return report_error(f"there is no command {name!r}: there are {', '.join(COMMANDS)}")
    try:
        return _invoke(name, command_arguments)
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
    quiet = cappa.Output(error_console=Console(file=io.StringIO()))  # `report_error` prints errors
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
    """Discard output that is not printed yet, also at the end of the process; return the exit code."""
    with contextlib.suppress(OSError, ValueError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return EXIT_BROKEN_PIPE


def report_error(reason: str) -> int:
    """Print an error on one line; return the exit code for invalid input."""
    print(f"meadowworks: {' '.join(reason.split())}", file=sys.stderr)
    return EXIT_BAD_INPUT


if __name__ == "__main__":
    sys.exit(main())
