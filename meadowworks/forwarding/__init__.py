"""Forwarding decisions without I/O: request attempts, endpoint selection, retry and memory limits."""
