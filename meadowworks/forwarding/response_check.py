"""What a response proves of the attempt that it ends. Source: the users' page on the protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import ANSWERED, FAILED, NEVER_RAN

# Statuses that say that the request has not run: not forwarded as they are without proof of it.
NOT_RUN_STATUSES = (408, 421, 429, 503)

HeaderLookup = Callable[[bytes], bytes | None]  # the value of a header, named in lower case


@dataclass(frozen=True, slots=True)
class ResponseVerdict:
    """What a response is worth.

    :param outcome: what is known of the attempt, as `meadowworks.attempts.retry_policy` names it
    :param is_valid: the response is this request's own, and may go to its client
    :param instance_superseded: another instance answers at the backend's address
    :param connection_reusable: the connection may carry a further request
    """

    outcome: int
    is_valid: bool = True
    instance_superseded: bool = False
    connection_reusable: bool = True


def outcome_of_status(status: int, not_run: bool) -> int:
    """What a backend's response says of an attempt.

    :param not_run: whether the response states that the request did not run
    """
    if not_run or status == 421:
        return NEVER_RAN
    return FAILED if status >= 500 or status in NOT_RUN_STATUSES else ANSWERED


def rejection_reason(
    request_id: bytes | None, status: int, header: HeaderLookup, first_on_connection: bool
) -> str | None:
    """Why a response is not the complete one to the request `request_id`; None if it is.

    :param first_on_connection: the connection has carried no request before, so a failure that names no
        request can be no other's
    """
    response_request_id = header(b"x-request-id")
    if request_id is not None and response_request_id != request_id:
        is_mismatch = response_request_id is not None or status < 300 or not first_on_connection
        if is_mismatch:
            return "another request's response"
    if 200 <= status < 300 and header(b"x-backend-seal") is None:
        return "a success without a seal"
    if header(b"content-encoding") not in (None, b"identity"):
        return "an encoded body"
    return None


def check_response(
    request_id: bytes | None,
    backend_id: bytes,
    status: int,
    header: HeaderLookup,
    first_on_connection: bool,
) -> ResponseVerdict:
    """What a complete response on a connection to the instance `backend_id` proves.

    :param first_on_connection: it answers the connection's first request
    """
    if rejection_reason(request_id, status, header, first_on_connection):
        # Guards against a late response to an earlier request in this one's place, which would be taken for
        # this one's: as its success, or as proof that it did not run.
        return ResponseVerdict(FAILED, is_valid=False, connection_reusable=False)
    if status == 421:
        return ResponseVerdict(
            NEVER_RAN, instance_superseded=header(b"x-backend-id") != backend_id, connection_reusable=False
        )
    return ResponseVerdict(outcome_of_status(status, header(b"x-not-run") is not None))
