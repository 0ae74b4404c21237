"""The life of calls at a proxy: admitted or throttled, tried, tried again, answered once.

Decides which backend of a table a try goes to, whether a further one follows, and what a client is told. It
never decides what the tables hold, what is let in or which way of trying again holds: those are a
controller's orders (`meadowworks/policy/`). No I/O, no clock and no chance but a seed and a counter.
"""
