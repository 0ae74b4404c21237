"""Validation of backend responses."""

from __future__ import annotations

from meadowworks.attempts.retry_policy import FAILED, NEVER_RAN
from meadowworks.forwarding.response_check import check_response


def test_a_failure_without_a_request_id_is_proof_only_on_a_new_connection() -> None:
    headers = {b"x-not-run": b"1"}
    assert check_response(b"q", b"me", 503, headers.get, True).outcome == NEVER_RAN
    assert check_response(b"q", b"me", 503, headers.get, False).outcome == FAILED
    assert check_response(None, b"me", 503, headers.get, True).outcome == NEVER_RAN
