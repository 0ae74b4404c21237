"""The simulator's wire as a host of the policy: `wire` reads batches, `events` lines, `host` answers."""
