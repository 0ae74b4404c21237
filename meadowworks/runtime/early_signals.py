"""SIGHUP during the start of a program, before the event loop can handle it.

Without a handler the signal would end the process. This module imports nothing heavy.
"""

from __future__ import annotations

import signal
from types import FrameType

_received = False


def hold_sighup() -> None:
    """Record SIGHUP until the program installs a handler of its own."""
    signal.signal(signal.SIGHUP, _record)


def take_held_sighup() -> bool:
    """Return whether SIGHUP has been recorded since the last call."""
    global _received
    received, _received = _received, False
    return received


def _record(_signal_number: int, _frame: FrameType | None) -> None:
    global _received
    _received = True
