"""A quota of concurrent calls, granted to holders in leased shares.

Reports may be late, and holders may come and go. The quota is the median of the holders' estimates, and each
holder chooses the calls that it admits within its share. The package does no I/O and reads no clock. Source:
"Distributed Adaptive Concurrency". `meadowworks/policy/` uses one admission limit for all proxies instead;
this package is for deployments whose proxies hold shares.
"""
