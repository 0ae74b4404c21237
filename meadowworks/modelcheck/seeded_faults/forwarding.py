"""Seeded faults of the model `carriage`: one request through the proxy."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

RETRY_POLICY = "meadowworks.attempts.retry_policy:"
REQUEST_WORLDS = tuple(range(9))  # those of forwarding_world, which come first
ATTEMPTS = "meadowworks.forwarding.request_attempts:RequestAttempts."
RESPONSE_CHECK = "meadowworks.forwarding.response_check:"
FORWARDING_FAULTS = (
    *(
        SeededFault(name, "carriage", target, original, replacement, violates, start_indices=REQUEST_WORLDS)
        for name, target, original, replacement, violates in (
            (
                "any failure of a backend is proof",
                RESPONSE_CHECK + "outcome_of_status",
                "if not_run or status == 421:",
                "if not_run or status >= 400:",
                ("at most once", "promises kept"),
            ),
            (
                "another request's answer is taken",
                RESPONSE_CHECK + "check_response",
                "if rejection_reason(request_id, status, header, first_on_connection):",
                "if False:",
                ("own answer", "at most once", "promises kept"),
            ),
            (
                "ids of failures are not compared",
                RESPONSE_CHECK + "rejection_reason",
                "response_request_id is not None or status < 300 or not first_on_connection",
                "status < 300 or response_request_id is None and not first_on_connection",
                ("at most once", "promises kept"),
            ),
            (
                "a failure that names no request is taken on a line that carried others",
                RESPONSE_CHECK + "rejection_reason",
                " or not first_on_connection",
                "",
                ("at most once", "promises kept"),
            ),
            (
                "a line with a spoilt answer is kept",
                RESPONSE_CHECK + "check_response",
                "return ResponseVerdict(FAILED, is_valid=False, connection_reusable=False)",
                "return ResponseVerdict(NEVER_RAN, is_valid=False, connection_reusable=False)",
                ("at most once", "promises kept"),
            ),
            (
                "a line to another life is kept",
                RESPONSE_CHECK + "check_response",
                "!= backend_id, connection_reusable=False",
                "!= backend_id",
                ("own lines",),
            ),
            (
                "an unsafe request has another try beside it",
                RETRY_POLICY + "retry_obstacle",
                "if not proven_not_run(attempts) and not "
                "(route_policy.idempotent and retry_policy >= RETRY_ANY_FAILURE):",
                "if False:",
                ("at most once",),
            ),
            (
                "what was given up is told 503",
                ATTEMPTS + "_reject",
                "if retries.proven_not_run([*self.attempts.values()]):",
                "if True:",
                ("promises kept",),
            ),
            (
                "a backend's own 503 goes to the client",
                ATTEMPTS + "_on_attempt_ended",
                "if outcome == FAILED and status and status not in NOT_RUN_STATUSES:",
                "if outcome == FAILED and status:",
                ("promises kept",),
            ),
            (
                "a reset is proof",
                ATTEMPTS + "_on_attempt_ended",
                "self.attempts[number].state = outcome",
                "self.attempts[number].state = outcome if status or outcome != FAILED else 2",
                ("at most once", "promises kept"),
            ),
            (
                "one try more than allowed",
                "meadowworks.forwarding.request_attempts:choose_retry_policy",
                "if max_attempts <= 1 or overloaded:",
                "if overloaded:",
                ("tries bounded",),
            ),
            (
                "what drains is in the tables",
                "meadowworks.registry.backends:BackendDirectory.merged_state",
                "return GONE if rank == STATE_RANK[GONE] else DRAINING",
                "return GONE if rank == STATE_RANK[GONE] else UP",
                ("drains kept",),
            ),
            (
                "a request whose tries are spent waits",
                ATTEMPTS + "_retry_or_finish",
                "return self._reject(now, random_value)",
                "return self._wait(now)",
                ("told at once",),
            ),
        )
    ),
)
