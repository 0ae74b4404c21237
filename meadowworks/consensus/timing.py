"""Durations of the agreement, in nanoseconds of the steady clock, and why each has its value."""

from __future__ import annotations

MILLISECOND_NS, SECOND_NS = 1_000_000, 1_000_000_000

# So long after a majority was asked a replica may answer for what it knows: the most by which an answer can
# be out of date in a partition (docs/design/control.md). Several resends fit in: a lost reply ends no lease.
LEASE_DURATION_NS = 1_800 * MILLISECOND_NS
# A reply is waited for so long before the request goes again.
RESEND_INTERVAL_NS = 300 * MILLISECOND_NS
# A proposal that met a higher ballot begins again after this, doubled each time and drawn at random, so that
# two proposers do not keep overtaking each other.
INITIAL_BACKOFF_NS, MAX_BACKOFF_NS = 20 * MILLISECOND_NS, 500 * MILLISECOND_NS
# Another replica has so long to finish its own proposal before this one finishes it; less while a member is
# away, since what one disk alone has accepted is then nearer to being lost.
FINISH_DELAY_NS, FINISH_DELAY_DEGRADED_NS = 400 * MILLISECOND_NS, 60 * MILLISECOND_NS
# The next member in order waits longer by this before it finishes a version, or changes the members: as a
# rule one replica acts, and the others find it done.
FINISH_RANK_DELAY_NS, RANK_DELAY_NS = 60 * MILLISECOND_NS, 250 * MILLISECOND_NS
# A member that has not answered for so long counts as away.
MEMBER_SILENCE_TIMEOUT_NS = 2 * SECOND_NS
# An epoch younger than this may have members that are not installed yet: it counts as degraded.
EPOCH_SETTLING_NS = 2 * SECOND_NS
# Epoch 1 waits so long for `2 * tolerated_failures + 1` members before `tolerated_failures + 1` are enough.
BOOTSTRAP_WAIT_NS = 1_500 * MILLISECOND_NS
MEMBERSHIP_CHECK_INTERVAL_NS = 250 * MILLISECOND_NS
PEER_EXPIRY_NS = 60 * SECOND_NS  # a disk that has sent nothing for so long is forgotten
# A tick that comes later than this: the process was suspended, and cannot tell who was silent meanwhile.
STALL_THRESHOLD_NS = SECOND_NS
WRITE_RETRY_DELAY_NS = 200 * MILLISECOND_NS  # before a write that the disk refused is tried again
# A write that has not ended after this: the disk is unusable. Well above a large write of a slow disk.
DISK_FAILURE_TIMEOUT_NS = SECOND_NS
# How long a replica tries to finish what another has begun before it looks again whether that is needed.
FINISH_TIMEOUT_NS, RECONFIGURATION_TIMEOUT_NS = SECOND_NS, 2 * SECOND_NS
# What is pending when a replica shuts down has so long to end.
LEAVE_GRACE_NS = 400 * MILLISECOND_NS
# When a client whose operation was not decided should ask again: soon if it ran out of time, later if this
# replica has no majority.
RETRY_AFTER_TIMEOUT_NS, RETRY_WITHOUT_LEASE_NS = 200 * MILLISECOND_NS, SECOND_NS
