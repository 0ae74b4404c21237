"""Locks, numbers and versioned keys as a deterministic state machine, without I/O or a clock.

The replicated log of `consensus` orders the commands; every node applies them in that order.
"""
