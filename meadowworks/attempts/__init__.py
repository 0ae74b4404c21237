"""The calls at a proxy: admission, attempts, retries and the final reply.

The package chooses the backend of each attempt, and decides whether to retry and what to reply. A controller
(`meadowworks/policy/`) sets the weights in the tables, the admission limits and the retry policies. The
package does no I/O and reads no clock; random numbers come from a seed and a counter.
"""
