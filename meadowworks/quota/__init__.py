"""One budget in shares, with all grants under it, while reports are late and proxies come and go.

Decides who may have how many calls under way at once. It never decides the estimate by more than the median
of the views, nor which call is let in under a share. No I/O, no clock. The source is the design's paper,
"Distributed Adaptive Concurrency"; the ordinary path of `meadowworks/policy/` is one level for all proxies
instead, so this is for fronts whose proxies hold shares.
"""
