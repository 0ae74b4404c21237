"""The exception hierarchy. Outcomes that are normal in operation are return values instead of exceptions.

MeadowworksError
    SettingsError             the operator must correct the settings file
    InvariantError            a bug: the process must stop
    RequestError              a call failed; `may_have_run` tells whether it may be retried
        ConnectError          not connected: any request may be retried
            ConnectTimeoutError
        ConnectionBrokenError
        IncompleteResponseError
        ResponseTooLargeError
        UnexpectedStatusError     a peer replied with another status than 200
"""

from __future__ import annotations

HTTP_NOT_FOUND = 404


class MeadowworksError(Exception):
    """The base class of the gateway's own exceptions."""


class SettingsError(MeadowworksError):
    """The settings file is missing, unreadable or inconsistent; the message is one line.

    A retry cannot succeed. The program ends with exit status 2.
    """


class InvariantError(MeadowworksError):
    """An invariant is violated: the process must stop because its state is invalid."""


class RequestError(MeadowworksError):
    """A call to a peer or a backend returned no complete and valid response.

    :ivar may_have_run: False only if the request was certainly never sent; then any request may be retried.
        Otherwise only an idempotent request may be retried.
    """

    def __init__(self, message: str, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class ConnectError(RequestError):
    """The connection was not established: nothing was sent, so any request may be retried."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=False)


class ConnectTimeoutError(ConnectError):
    """The connection was not established in time: the machine may be down or unreachable."""


class ConnectionBrokenError(RequestError):
    """The connection ended, or the peer violated HTTP/1.1, before the response was complete."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class IncompleteResponseError(RequestError):
    """The end of the response is missing, or cannot be distinguished from a broken connection."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class ResponseTooLargeError(RequestError):
    """The response exceeds the caller's size limit or the available memory."""

    def __init__(self, message: str) -> None:
        super().__init__(message, may_have_run=True)


class UnexpectedStatusError(RequestError):
    """A peer replied with another status than 200.

    :ivar status: the status of the reply; 404 means that the peer has no such call and did nothing.
    """

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message, may_have_run=status != HTTP_NOT_FOUND)
        self.status = status
