"""A quota of calls at once, in leased shares, while reports are late and holders come and go.

Decides who may have how many calls in flight at once. It never estimates by more than the median of the
holders' estimates, nor decides which call is let in under a share. No I/O, no clock. The source is the
design's paper, "Distributed Adaptive Concurrency"; the usual path of `meadowworks/policy/` is one admission
limit for all proxies instead, so this is for fronts whose proxies hold shares.
"""
