"""What a command of the command line fails with."""

from __future__ import annotations

from meadowworks.runtime.errors import MeadowworksError


class CommandError(MeadowworksError):
    """The input of a command is invalid, or the node it asks does not answer; one plain sentence.

    Ends the command with exit code 2. Whether it may be tried again, the sentence says.
    """
