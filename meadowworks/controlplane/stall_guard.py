"""Detection that this process was suspended, after which calls that waited in its sockets are refused."""

from __future__ import annotations

from meadowworks.runtime.clock import NS_PER_MS

# Callers have turned to another node by then; a processor quota suspends for much less.
MIN_STALL_NS = 700 * NS_PER_MS
# Calls that had arrived during a stall are read within this time after it.
REFUSAL_NS = 200 * NS_PER_MS


class StallGuard:
    """Refuses calls for a short time after a stall.

    A caller whose call was not answered may have acted on that. Refusing such calls keeps late copies from
    being executed; the state machine tolerates those that pass. Nothing is refused before the first `run`.
    """

    def __init__(self) -> None:
        self._last_run_ns: int | None = None
        self._refuses_until_ns = 0

    def run(self, now_ns: int) -> None:
        """Record that the process runs; call this several times within `MIN_STALL_NS`."""
        if self._is_stalled(now_ns):
            self._refuses_until_ns = now_ns + REFUSAL_NS
        self._last_run_ns = now_ns

    def refuses(self, now_ns: int) -> bool:
        """Return whether a call that is read now may have waited during a stall."""
        return now_ns < self._refuses_until_ns or self._is_stalled(now_ns)

    def _is_stalled(self, now_ns: int) -> bool:
        return self._last_run_ns is not None and now_ns - self._last_run_ns > MIN_STALL_NS
