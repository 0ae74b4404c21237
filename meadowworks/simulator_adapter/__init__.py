"""An adapter from the simulator's line protocol to the policy.

`wire` reads batches, `events` parses their lines, and `host` writes the policy's orders to the reply.
"""
