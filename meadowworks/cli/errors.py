"""Errors of the command line."""

from __future__ import annotations

from meadowworks.runtime.errors import MeadowworksError


class CommandError(MeadowworksError):
    """A command has invalid input, or its node does not answer; the message is one sentence.

    Ends the command with exit code 2. The message says whether the command may be retried.
    """
