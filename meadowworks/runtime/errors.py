"""The tree of errors. What may happen in service is a value that is returned, not one of these."""

from __future__ import annotations


class MeadowError(Exception):
    """Everything that the gateway raises by itself."""


class BadSettings(MeadowError):
    """The settings file is missing, unreadable or makes no sense; one plain sentence. Ends with status 2."""


class BrokenInvariant(MeadowError):
    """What must always hold does not: the process stops rather than go on with a state that is wrong."""


class NoAnswer(MeadowError):
    """A call to a peer or a backend had no whole, sound answer.

    `ran` tells what is known: False only if it is certain that the request never left."""

    def __init__(self, why: str, ran: bool) -> None:
        super().__init__(why)
        self.ran = ran
