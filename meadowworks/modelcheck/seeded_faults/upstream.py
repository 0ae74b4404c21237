"""Seeded faults of the model `carriage`: connections to backends and calls between nodes."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

# Indices of initial worlds of the model: http_connection_scenarios follow the nine of forwarding_world.
FAULT_WORLDS, IDLE_WORLDS, NO_ID_WORLDS, PEER_CALL_WORLDS = (9,), (10,), (12,), (14,)
CONNECTION = "meadowworks.runtime.http_connection:ClientConnection."
RESPONSE_CHECK = "meadowworks.forwarding.response_check:"
UPSTREAM_FAULTS = tuple(
    SeededFault(name, "carriage", target, original, replacement, violates, start_indices=start_indices)
    for name, target, original, replacement, violates, start_indices in (
        (
            "bytes behind an answer stay on its line",
            CONNECTION + "_after_response",
            "if self._http11.has_surplus_data or self._stream.buffer:",
            "if False:",
            ("clean lines",),
            IDLE_WORLDS,
        ),
        (
            "a line is used on which bytes have come while it rested",
            CONNECTION + "is_usable",
            " and not self._http11.has_expired()",
            "",
            ("clean lines",),
            IDLE_WORLDS,
        ),
        (
            "a kept line is taken without a look",
            "meadowworks.forwarding.connection_pool:ConnectionPool.acquire",
            " and connection.is_usable()",
            "",
            ("clean lines",),
            IDLE_WORLDS,
        ),
        (
            "a reset is taken for the end of an answer without a length",
            "meadowworks.runtime.buffered_stream:BufferedStream.read",
            "if not self._buffer and self._error is not None:",
            "if False:",
            ("wrong caller",),
            FAULT_WORLDS,
        ),
        (
            "a line that breaks is proof",
            CONNECTION + "request",
            'raise ConnectionBrokenError(f"connection broken: {error}")',
            'raise ConnectError(f"connection broken: {error}")',
            ("ran twice",),
            FAULT_WORLDS,
        ),
        (
            "a call without an id goes on a kept line",
            "meadowworks.proxy.upstream_attempt:send_attempt",
            " if request.request_id is not None else None",
            "",
            ("wrong caller",),
            NO_ID_WORLDS,
        ),
        (
            "a late answer is taken for the next call's",
            RESPONSE_CHECK + "check_response",
            "if rejection_reason(request_id, status, header, first_on_connection):",
            "if False:",
            ("wrong caller",),
            IDLE_WORLDS,
        ),
        (
            "a promise without a name is taken on a kept line",
            RESPONSE_CHECK + "rejection_reason",
            " or not first_on_connection",
            "",
            ("ran twice", "clean lines"),
            IDLE_WORLDS,
        ),
        (
            "a line is kept whose answer was another's",
            "meadowworks.proxy.upstream_attempt:process_response",
            "if verdict.connection_reusable:",
            "if True:",
            ("clean lines",),
            IDLE_WORLDS,
        ),
        (
            "a line whose answer was another's is let go as it is",
            "meadowworks.proxy.upstream_attempt:process_response",
            "connection.close()\n    if not verdict.is_valid:",
            "pass\n    if not verdict.is_valid:",
            ("no line left",),
            IDLE_WORLDS,
        ),
        (
            "a reply to another question is taken",
            "meadowworks.runtime.peer_client:PeerClient.call",
            "if reply.header(CALL_ID_HEADER) != call_id:",
            "if False:",
            ("wrong caller",),
            PEER_CALL_WORLDS,
        ),
    )
)
