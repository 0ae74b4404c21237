"""What a response proves."""

from __future__ import annotations

from meadowworks.attempts.retry_policy import FAILED, NEVER_RAN
from meadowworks.forwarding.response_check import check_response


def test_a_failure_that_names_no_request_is_proof_on_a_new_connection_alone() -> None:
    headers = {b"x-not-run": b"1"}
    assert check_response(b"q", b"me", 503, headers.get, True).outcome == NEVER_RAN
    assert check_response(b"q", b"me", 503, headers.get, False).outcome == FAILED
    assert check_response(None, b"me", 503, headers.get, True).outcome == NEVER_RAN
