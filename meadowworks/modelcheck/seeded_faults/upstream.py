"""Seeded faults of the model of a connection to a backend and a call between programs."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

CLIENTS, BREAKS, KEPT, NAMELESS, BETWEEN = tuple(range(9)), (9,), (10,), (12,), (14,)  # worlds of the model
LINE = "meadowworks.runtime.http_connection:ClientConnection."
JOURNEY, ANSWERS = (
    "meadowworks.forwarding.attempts:RequestAttempts.",
    "meadowworks.forwarding.response_check:",
)
UPSTREAM_FAULTS = tuple(
    SeededFault(name, "carriage", at, was, now, breaks, start_indices=starts)
    for name, at, was, now, breaks, starts in (
        (
            "bytes behind an answer stay on its line",
            LINE + "_after_response",
            "if self._http11.has_surplus_data or self._stream.buffer:",
            "if False:",
            ("clean lines",),
            KEPT,
        ),
        (
            "a line is used on which bytes have come while it rested",
            LINE + "usable",
            " and not self._http11.has_expired()",
            "",
            ("clean lines",),
            KEPT,
        ),
        (
            "a kept line is taken without a look",
            "meadowworks.forwarding.connection_pool:ConnectionPool.acquire",
            " and line.usable()",
            "",
            ("clean lines",),
            KEPT,
        ),
        (
            "an answer without a length ends with its connection",
            LINE + "request",
            "if not complete or not _has_end_of_its_own(method, response):",
            "if False:",
            ("wrong caller",),
            BREAKS,
        ),
        (
            "a line that breaks is proof",
            LINE + "request",
            'raise ConnectionBrokenError(f"connection broken: {error}")',
            'raise ConnectError(f"connection broken: {error}")',
            ("ran twice",),
            BREAKS,
        ),
        (
            "a call without an id goes on a kept line",
            "meadowworks.proxy.upstream_attempt:send_attempt",
            " if request.request_id is not None else None",
            "",
            ("wrong caller",),
            NAMELESS,
        ),
        (
            "a late answer is taken for the next call's",
            ANSWERS + "check_response",
            "if rejection_reason(request_id, status, header, first_on_connection):",
            "if False:",
            ("wrong caller",),
            KEPT,
        ),
        (
            "a promise without a name is taken on a kept line",
            ANSWERS + "rejection_reason",
            " or not first_on_connection)",
            ")",
            ("ran twice", "clean lines"),
            KEPT,
        ),
        (
            "a line is kept whose answer was another's",
            "meadowworks.proxy.upstream_attempt:send_attempt",
            "if found.reusable:",
            "if True:",
            ("clean lines",),
            KEPT,
        ),
        (
            "a line whose answer was another's is let go as it is",
            "meadowworks.proxy.upstream_attempt:send_attempt",
            "line.close()\n        if not found.is_valid:",
            "pass\n        if not found.is_valid:",
            ("no line left",),
            KEPT,
        ),
        (
            "a reply to another question is taken",
            "meadowworks.runtime.peer_client:PeerClient.call",
            "if reply.header(CALL_ID_HEADER) != call_id:",
            "if False:",
            ("wrong caller",),
            BETWEEN,
        ),
    )
)
