"""Durations of the consensus protocol, in nanoseconds of the monotonic clock."""

from __future__ import annotations

MILLISECOND_NS = 1_000_000
SECOND_NS = 1_000_000_000

# A replica may serve clients for this long after it queried a majority. This bounds how stale an answer can
# be in a partition (docs/design/control.md). Several resends fit in, so a lost reply does not end the lease.
LEASE_DURATION_NS = 1_800 * MILLISECOND_NS
# A request is resent if no reply has arrived after this time.
RESEND_INTERVAL_NS = 300 * MILLISECOND_NS
# An install request is repeated after this time while a member fetches the log.
FETCH_POLL_INTERVAL_NS = 60 * MILLISECOND_NS
# How long a member that could not read a message is sent only those of earlier releases.
OLD_RELEASE_EXPIRY_NS = 60 * SECOND_NS
# Delays before a proposal that met a higher ballot is retried. The delay doubles with each retry and is
# randomized, which prevents two proposers from preempting each other repeatedly.
INITIAL_BACKOFF_NS = 20 * MILLISECOND_NS
MAX_BACKOFF_NS = 500 * MILLISECOND_NS
# Another replica has this long to finish its own proposal before this one finishes it. The delay is shorter
# while a member is silent, because a value that only one disk has accepted is then more likely to be lost.
FINISH_DELAY_NS = 400 * MILLISECOND_NS
FINISH_DELAY_DEGRADED_NS = 60 * MILLISECOND_NS
# Additional delay per rank before a member finishes a version or changes the membership. Usually one replica
# acts and the others find the work done.
FINISH_RANK_DELAY_NS = 60 * MILLISECOND_NS
RANK_DELAY_NS = 250 * MILLISECOND_NS
# A member that has not answered for this long is silent.
MEMBER_SILENCE_TIMEOUT_NS = 2 * SECOND_NS
# A younger epoch may have members that are not installed yet and is treated as degraded.
EPOCH_SETTLING_NS = 2 * SECOND_NS
# Epoch 1 waits this long for `2 * tolerated_failures + 1` members, then accepts `tolerated_failures + 1`.
BOOTSTRAP_WAIT_NS = 1_500 * MILLISECOND_NS
MEMBERSHIP_CHECK_INTERVAL_NS = 250 * MILLISECOND_NS
PEER_EXPIRY_NS = 60 * SECOND_NS  # a peer that has not answered for this long is removed
# A longer gap between ticks means that the process was suspended, so silence timeouts are restarted.
STALL_THRESHOLD_NS = SECOND_NS
WRITE_RETRY_DELAY_NS = 200 * MILLISECOND_NS  # before a write that the disk rejected is retried
# The disk is treated as failed if a write takes longer than this and a time for each byte: a disk that writes
# 10 MB in a second is slow, not failed.
DISK_FAILURE_TIMEOUT_NS = SECOND_NS
DISK_FAILURE_TIMEOUT_PER_BYTE_NS = 100
# How long a replica tries to finish another replica's work before it checks again whether that is needed.
FINISH_TIMEOUT_NS = SECOND_NS
RECONFIGURATION_TIMEOUT_NS = 2 * SECOND_NS
# Pending operations have this long to complete when a replica leaves.
LEAVE_GRACE_NS = 400 * MILLISECOND_NS
# Delays after which a client should retry an undecided operation. Without a lease the delay is longer.
RETRY_AFTER_TIMEOUT_NS = 200 * MILLISECOND_NS
RETRY_WITHOUT_LEASE_NS = SECOND_NS
