"""Validation of backend responses: what a response proves about its attempt.

Source: the protocol page for users.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import ANSWERED, FAILED, NEVER_RAN

# Statuses that tell a client that the request did not run; not forwarded without proof of that.
NOT_RUN_STATUSES = (408, 421, 429, 503)

HeaderLookup = Callable[[bytes], bytes | None]  # maps a lower-case header name to its value


@dataclass(frozen=True, slots=True)
class ResponseVerdict:
    """Result of checking a response.

    :param outcome: the state of the attempt, one of the constants of `meadowworks.attempts.retry_policy`
    :param is_valid: whether the response belongs to this request and may be sent to its client
    :param instance_superseded: whether another instance has replaced the backend at its address
    :param connection_reusable: whether the connection can carry another request
    """

    outcome: int
    is_valid: bool = True
    instance_superseded: bool = False
    connection_reusable: bool = True


def outcome_of_status(status: int, not_run: bool) -> int:
    """Return the state of an attempt that ended with a response.

    :param not_run: whether the response states that the request did not run
    """
    if not_run or status == 421:
        return NEVER_RAN
    return FAILED if status >= 500 or status in NOT_RUN_STATUSES else ANSWERED


def rejection_reason(
    request_id: bytes | None, status: int, header: HeaderLookup, first_on_connection: bool
) -> str | None:
    """Return why a response is not a valid one to the request `request_id`; None if it is valid.

    :param first_on_connection: whether this is the first request on its connection; a failure without a
        request id then belongs to it
    """
    response_request_id = header(b"x-request-id")
    if request_id is not None and response_request_id != request_id:
        is_mismatch = response_request_id is not None or status < 300 or not first_on_connection
        if is_mismatch:
            return "response to another request"
    if 200 <= status < 300 and header(b"x-backend-seal") is None:
        return "success without X-Backend-Seal"
    if header(b"content-encoding") not in (None, b"identity"):
        return "body with a content encoding"
    return None


def check_response(
    request_id: bytes | None,
    backend_id: bytes,
    status: int,
    header: HeaderLookup,
    first_on_connection: bool,
) -> ResponseVerdict:
    """Check a complete response on a connection to the instance `backend_id`.

    :param first_on_connection: whether this is the first request on its connection
    """
    if rejection_reason(request_id, status, header, first_on_connection):
        # Prevents a late response to an earlier request from being taken for this one's, either as a success
        # or as proof that the request did not run.
        return ResponseVerdict(FAILED, is_valid=False, connection_reusable=False)
    if status == 421:
        return ResponseVerdict(
            NEVER_RAN, instance_superseded=header(b"x-backend-id") != backend_id, connection_reusable=False
        )
    return ResponseVerdict(outcome_of_status(status, header(b"x-not-run") is not None))
