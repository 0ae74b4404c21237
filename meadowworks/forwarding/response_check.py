"""What an answer proves of the try that it ends. Source: the users' page on the protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from meadowworks.attempts.retry_policy import ANSWERED, FAILED, NEVER_RAN

NOT_RUN_STATUSES = (408, 421, 429, 503)  # statuses that promise that a request has not run

HeaderLookup = Callable[[bytes], bytes | None]  # the value of a header, named in small letters


@dataclass(frozen=True, slots=True)
class ResponseVerdict:
    """`state` as `attempts` names it. `sound`: the answer is this request's own and may go to its client.
    `over`: another life answers at the address. `keep`: its line may carry a further request."""

    outcome: int
    is_valid: bool = True
    incarnation_ended: bool = False
    reusable: bool = True


def outcome_of_status(status: int, not_run: bool) -> int:
    """What an answer of a backend says of a try, by its status and whether it states that it did not run."""
    if not_run or status == 421:
        return NEVER_RAN
    return FAILED if status >= 500 or status in NOT_RUN_STATUSES else ANSWERED


def rejection_reason(
    request_id: bytes | None, status: int, header: HeaderLookup, first_on_connection: bool
) -> str | None:
    """Why an answer is not that of the request with the id `asked`, whole; nothing if it is. `first`: its
    line has carried no request before, so a failure that names no request can be no other's."""
    told = header(b"x-request-id")
    if (
        request_id is not None
        and told != request_id
        and (told is not None or status < 300 or not first_on_connection)
    ):
        return "another request's answer"
    if 200 <= status < 300 and header(b"x-backend-seal") is None:
        return "a success without a seal"
    if header(b"content-encoding") not in (None, b"identity"):
        return "an encoded body"
    return None


def check_response(
    request_id: bytes | None, backend_id: bytes, status: int, header: HeaderLookup, first_on_connection: bool
) -> ResponseVerdict:
    """What a whole answer on a line to `life` proves; `first`: it is to the line's first request."""
    if rejection_reason(request_id, status, header, first_on_connection):
        # Guards against a late answer to an earlier request in this one's place, which would be taken for
        # this one's: as its success, or as proof that it did not run.
        return ResponseVerdict(FAILED, is_valid=False, reusable=False)
    if status == 421:
        return ResponseVerdict(
            NEVER_RAN, incarnation_ended=header(b"x-backend-id") != backend_id, reusable=False
        )
    return ResponseVerdict(outcome_of_status(status, header(b"x-not-run") is not None))
