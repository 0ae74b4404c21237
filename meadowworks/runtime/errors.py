"""The tree of errors. What may happen in service is a value that is returned, not one of these."""

from __future__ import annotations


class MeadowworksError(Exception):
    """Everything that the gateway raises by itself."""


class SettingsError(MeadowworksError):
    """The settings file is missing, unreadable or makes no sense; one plain sentence. Ends with status 2."""


class InvariantError(MeadowworksError):
    """What must always hold does not: the process stops rather than go on with a state that is wrong."""


class RequestError(MeadowworksError):
    """A call to a peer or a backend had no whole, sound answer.

    `ran` tells what is known: False only if it is certain that the request never left."""

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run
