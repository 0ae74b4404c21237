"""The one tree of exceptions. What is expected in service is a value that is returned, not an exception.

MeadowworksError
    SettingsError             the operator must mend the settings file
    InvariantError            a bug: the process must stop
    RequestError              a call failed; `may_have_run` says whether it may be retried
        ConnectError          not connected: any request may be retried
            ConnectTimeoutError
        ConnectionBrokenError
        IncompleteResponseError
        ResponseTooLargeError
"""

from __future__ import annotations


class MeadowworksError(Exception):
    """Every exception that the gateway raises by itself."""


class SettingsError(MeadowworksError):
    """The settings file is missing, unreadable or inconsistent; the message is one plain sentence.

    Retrying does not help. A program ends with exit status 2.
    """


class InvariantError(MeadowworksError):
    """What must always hold does not: the process stops rather than go on with a wrong state."""


class RequestError(MeadowworksError):
    """A call to a peer or a backend brought no complete, sound response.

    :ivar may_have_run: False only if it is certain that the request never left this process; then every
        request may be retried. Otherwise only an idempotent one may.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class ConnectError(RequestError):
    """No connection was made: nothing has been sent, and any request may be retried."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class ConnectTimeoutError(ConnectError):
    """The connection was not made in time: the machine may be down or unreachable."""


class ConnectionBrokenError(RequestError):
    """The connection ended, or violated HTTP/1.1, before the response was complete."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class IncompleteResponseError(RequestError):
    """The response has no end that differs from a broken connection, or its end never came."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class ResponseTooLargeError(RequestError):
    """The response is larger than the caller takes, or than there is memory for."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)
