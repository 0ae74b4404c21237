"""`meadowworks settings`: checks a settings file."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cappa import Arg

from meadowworks.cli.errors import CommandError
from meadowworks.runtime.errors import SettingsError
from meadowworks.runtime.node_settings import parse_settings


def settings(file: Annotated[Path, Arg(help="a settings file")]) -> int:
    """Check a node's settings file."""
    try:
        node_settings = parse_settings(file.read_bytes())
    except OSError as error:
        raise CommandError(f"{file} cannot be read: {error.strerror}") from None
    except SettingsError as error:
        raise CommandError(f"{file}: {error}") from None
    print(f"{file}: {node_settings.node} of {node_settings.zone}, serves {', '.join(node_settings.roles)}")
    return 0
