"""The command line: `meadowworks WORD ...`. Each word's own part is imported only when it is asked for."""

from __future__ import annotations

import contextlib
import importlib
import io
import os
import sys
from collections.abc import Sequence

COMMANDS = {
    "check": ("meadowworks.modelcheck.commands", "check", "explore the machines whole in small worlds"),
    "days": ("meadowworks.simulation.regression", "days", "play the days of our own by the users' bench"),
    "lab": ("meadowworks.simulation.commands", "lab", "measure the product's own machines"),
    "local": ("meadowworks.local.commands", "local", "start a small gateway on this machine, to try it"),
    "status": ("meadowworks.cli.operations", "status", "what a controller of the gateway knows"),
    "why": ("meadowworks.cli.operations", "why", "what a junction's last decisions on a service rest on"),
    "members": ("meadowworks.cli.members", "members", "who votes, and why one is not in"),
    "nodes": ("meadowworks.cli.operations", "nodes", "the controllers that a signalbox knows"),
    "backends": ("meadowworks.cli.operations", "backends", "the backends that a controller knows"),
    "config": ("meadowworks.cli.operations", "config", "check, put, get or diff a configuration"),
    "rude": ("meadowworks.local.hostile_clients", "rude", "slow and misbehaving clients against one proxy"),
    "settings": ("meadowworks.cli.operations", "settings", "check a settings file of the gateway"),
}
USAGE = "usage: meadowworks WORD [OPTION ...]; without a word the controller runs, as NODE_CONFIG says"


class CommandError(Exception):
    """What was asked for makes no sense; one plain sentence. Ends the command with status 2."""


def usage_text() -> str:
    return "\n".join(
        [
            USAGE,
            "",
            *(f"  {word:8} {what}" for word, (*_, what) in COMMANDS.items()),
            "",
            "Each word has --help.",
        ]
    )


def main(arguments: Sequence[str] | None = None) -> int:
    """Runs a command. Its status is 0 when all holds, 1 when what it asks does not, 2 on bad input, 141 where
    whoever read its output has gone."""
    try:
        status = run_command(sys.argv[1:] if arguments is None else arguments)
        sys.stdout.flush()
        return status
    except BrokenPipeError:
        return discard_output()


def run_command(arguments: Sequence[str]) -> int:
    if not arguments or arguments[0] in ("--help", "-h", "help"):
        print(usage_text())
        return 0
    if arguments[0] not in COMMANDS:
        return report_error(f"there is no word {arguments[0]!r}: there are {', '.join(COMMANDS)}")
    try:
        module, name, _ = COMMANDS[arguments[0]]
        act = getattr(importlib.import_module(module), name)
        import cappa
        from rich.console import Console
    except ModuleNotFoundError as missing:
        return report_error(
            f"{arguments[0]} needs {missing.name}, which is not installed: pip install 'meadowworks[tools]'"
        )
    quiet = cappa.Output(error_console=Console(file=io.StringIO()))  # an error is told in one line of ours
    try:
        status = cappa.invoke(
            cappa.command(name=f"meadowworks {arguments[0]}")(act),
            argv=list(arguments[1:]),
            output=quiet,
            completion=False,
        )
    except (CommandError, ValueError) as trouble:
        return report_error(str(trouble))
    except cappa.Exit as end:
        return (
            report_error(f"{end.message}; `meadowworks {arguments[0]} --help` tells the usage")
            if end.code
            else 0
        )
    except KeyboardInterrupt:
        return 130
    return status if isinstance(status, int) else 0


def discard_output() -> int:
    """No more is said, not at the process's end either."""
    with contextlib.suppress(OSError, ValueError):
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    return 141


def report_error(reason: str) -> int:
    print(f"meadowworks: {' '.join(reason.split())}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
