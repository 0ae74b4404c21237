"""The calls at a proxy: admitted or throttled, attempted, retried, answered once.

Decides which backend of a table an attempt goes to, whether a retry follows, and what the client gets. It
never decides what the tables hold, what is admitted or which retry policy holds: those are a controller's
orders (`meadowworks/policy/`). No I/O, no clock, and no randomness but a seed and a counter.
"""
