"""Seeded faults of the model `replicated_log`: elections, appends, read barriers, snapshots and epochs."""

from __future__ import annotations

from meadowworks.modelcheck.model import NO_EXCEPTION
from meadowworks.modelcheck.models.replicated_log.scenarios import SCENARIOS
from meadowworks.modelcheck.seeded_fault import SeededFault

PACKAGE = "meadowworks.consensus."
LOG_REPLICA, LOG = PACKAGE + "log_replica:LogReplica.", PACKAGE + "replicated_log:ReplicatedLog."
BEST_LOG_SOURCE = PACKAGE + "replicated_log:best_log_source"
LOG_SENDER = PACKAGE + "log_sender:"
MOST_UP_TO_DATE = PACKAGE + "replicated_log:most_up_to_date"
ACCEPTOR, RECONFIGURATION = PACKAGE + "acceptor:Acceptor.", PACKAGE + "reconfiguration:Reconfiguration."
COMMITTED_ARE_KEPT = ("leaders are complete", "committed entries last", "same entries", NO_EXCEPTION)
WRITTEN = ("log replies are durable", "own entries are durable", "log written whole")

TWO_NODES = "two nodes, an entry"
ENTRY = "an entry, another leader"
TWO_CANDIDATES = "two candidates, the voter loses power"
SECOND_ELECTION = "a second election, the vote of the first is late"
LATE_REQUEST = "a second election, the first request is late"
EARLIER_TERM = "an entry of an earlier term, the leaders alternate"
SHORTER_LOG = "a former leader leads again with a shorter log"
BARRIER = "a barrier, another leader"
LACKING_FOLLOWER = "a barrier, a follower lacks an entry"
SNAPSHOT = "a follower is behind a snapshot"
SECOND_SNAPSHOT = "a snapshot arrives twice"
REPLACED_DISK = "a replaced disk joins the next epoch"
SINGLE_NODE = "the epoch of a single node ends twice"
EPOCH_BEGINS = "an epoch begins with two of three members"
TWO_LEADERS = "two leaders of one epoch join the next"
REPLACED_DISK_WHOLE = "a replaced disk joins the next epoch with a whole state"
SINGLE_NODE_WHOLE = "the epoch of a single node ends twice with a whole state"
TWO_LEADERS_WHOLE = "two leaders of one epoch join the next with whole states"
REPLACED_DISK_SNAPSHOT = "a replaced disk joins the next epoch with a snapshot"
EPOCH_BEGINS_WHOLE = "an epoch begins with two of three members and whole states"
SECOND_SNAPSHOT_WHOLE = "a whole snapshot arrives twice"
SEALED_CANDIDATE_WHOLE = "a candidate is sealed with a whole state"
TWO_LEADERS_REPLACED_DISK = "two leaders of one epoch, a disk is replaced"
TWO_EQUAL_LOGS = "two leaders of one epoch with logs of one length, a disk is replaced"
LATER_LEADER = "another leader appends while a follower reads a snapshot"
COMPACTED_WHILE_READ = "entries are compacted while a follower reads a snapshot"

SCENARIO_INDICES = {scenario.name: index for index, scenario in enumerate(SCENARIOS)}
REPLICATED_LOG_FAULTS = tuple(
    SeededFault(
        name,
        "replicated_log",
        target,
        original,
        replacement,
        violates,
        start_indices=(SCENARIO_INDICES[scenario],),
    )
    for name, target, original, replacement, violates, scenario in (
        # Elections.
        (
            "a vote is not recorded",
            LOG_REPLICA + "_vote_for",
            "self.log.advance_term(request.term, request.candidate_id)",
            "pass",
            ("one vote", "one leader", "log replies are durable"),
            TWO_CANDIDATES,
        ),
        (
            "a term and a vote are not written",
            LOG + "advance_term",
            "self.term, self.voted_for, self.metadata_changed = term, voted_for, True",
            "self.term, self.voted_for = term, voted_for",
            ("one vote", "one leader", *WRITTEN),
            TWO_CANDIDATES,
        ),
        (
            "a second vote is granted in one term",
            LOG_REPLICA + "_vote_for",
            'if self.log.voted_for not in ("", request.candidate_id):',
            "if False:",
            ("one vote", "one leader"),
            TWO_CANDIDATES,
        ),
        (
            "a vote is granted in an earlier term",
            LOG_REPLICA + "_vote_for",
            "request.term < self.log.term or ",
            "",
            ("one vote", "one leader", NO_EXCEPTION),
            LATE_REQUEST,
        ),
        (
            "a vote is granted to a shorter log",
            LOG_REPLICA + "_vote_for",
            " or request.last_position < self.log.last_position",
            "",
            COMMITTED_ARE_KEPT,
            EARLIER_TERM,
        ),
        (
            "a vote of an earlier term is counted",
            LOG_REPLICA + "_on_vote_reply",
            "self.role is Role.CANDIDATE and reply.voted_term == self.log.term",
            "self.role is Role.CANDIDATE",
            ("one leader",),
            SECOND_ELECTION,
        ),
        (
            "a leader needs no majority of votes",
            LOG_REPLICA + "_count_vote",
            "if len(self._votes) < self._acceptor.epoch.majority:",
            "if False:",
            ("one leader", *COMMITTED_ARE_KEPT),
            TWO_CANDIDATES,
        ),
        (
            "votes are requested before the own vote is on disk",
            LOG_REPLICA + "_start_campaign",
            "self._host.defer_until_durable(OwnVote(self.log.term))",
            "self.on_durable(now_ns, OwnVote(self.log.term))",
            ("log replies are durable",),
            TWO_NODES,
        ),
        (
            "a vote on disk starts the campaign of a later term",
            LOG_REPLICA + "on_durable",
            "item.term != self.log.term or ",
            "",
            ("log replies are durable",),
            LATE_REQUEST,
        ),
        (
            "a campaign does not begin a new term",
            LOG_REPLICA + "_next_term",
            "self.log.term.number + 1 if",
            "self.log.term.number if",
            ("one leader", "one vote", *COMMITTED_ARE_KEPT),
            BARRIER,
        ),
        # The leader's log.
        (
            "an entry of an earlier term is committed by counting",
            LOG_REPLICA + "_advance_commit_index",
            " or self.log.term_at(index) != self.log.term",
            "",
            ("leaders are complete",),
            EARLIER_TERM,
        ),
        (
            "an entry is committed without a majority",
            LOG_REPLICA + "_advance_commit_index",
            "durable[len(durable) - self._acceptor.epoch.majority]",
            "durable[-1]",
            ("committed entries last",),
            SNAPSHOT,
        ),
        (
            "a leader counts itself before its write",
            LOG_REPLICA + "_append",
            "self._host.defer_until_durable(OwnAppend(self.log.term, index))",
            "self.own_durable_index = index",
            ("own entries are durable",),
            TWO_NODES,
        ),
        (
            "a leader counts entries that it had on disk in an earlier term",
            LOG_REPLICA + "_become_leader",
            "self.own_durable_index = self._transfer_until_ns = 0",
            "self._transfer_until_ns = 0",
            ("own entries are durable",),
            SHORTER_LOG,
        ),
        (
            "an appended entry is not written",
            LOG + "append",
            "self._mark_changed(self.last_index)",
            "pass",
            WRITTEN,
            TWO_NODES,
        ),
        # Read barriers.
        (
            "a barrier passes without a round",
            LOG_REPLICA + "_complete_barriers",
            "barrier.round_number <= round_number and ",
            "",
            ("barriers cover",),
            BARRIER,
        ),
        (
            "a barrier needs no majority",
            LOG_REPLICA + "_complete_barriers",
            "confirmed[len(confirmed) - self._acceptor.epoch.majority]",
            "confirmed[-1]",
            ("barriers cover",),
            BARRIER,
        ),
        (
            "a barrier counts a round that began before it",
            LOG_REPLICA + "begin_barrier",
            "self._round_number += 1",
            "pass",
            ("barriers cover",),
            BARRIER,
        ),
        (
            "a barrier does not cover the entry that begins the term",
            LOG_REPLICA + "begin_barrier",
            "max(self.commit_index, self._term_start_index)",
            "self.commit_index",
            ("barriers cover",),
            BARRIER,
        ),
        (
            "a barrier passes before its entries are applied",
            LOG_REPLICA + "_complete_barriers",
            " and barrier.index <= self.applied_index",
            "",
            ("barriers cover",),
            LACKING_FOLLOWER,
        ),
        # The follower's log.
        (
            "a leader of an earlier term appends",
            LOG_REPLICA + "_on_leader_request",
            "if request.term < self.log.term:",
            "if False:",
            ("barriers cover", *COMMITTED_ARE_KEPT),
            ENTRY,
        ),
        (
            "entries that conflict with the leader's are kept",
            LOG_REPLICA + "_append_entries",
            "if self.log.term_at(index) == entry.term:",
            "if True:",
            COMMITTED_ARE_KEPT,
            EARLIER_TERM,
        ),
        (
            "a conflict does not truncate the log",
            LOG_REPLICA + "_append_entries",
            "self._truncate_from(index)",
            "pass",
            COMMITTED_ARE_KEPT,
            EARLIER_TERM,
        ),
        (
            "entries are appended after another entry than the leader's",
            LOG_REPLICA + "_append_entries",
            "if not self.log.contains(previous):",
            "if False:",
            (*COMMITTED_ARE_KEPT, "log replies are durable"),
            EARLIER_TERM,
        ),
        # Snapshots.
        (
            "an earlier snapshot replaces later entries",
            LOG_REPLICA + "_restore",
            "if request.snapshot.index > self.commit_index:",
            "if True:",
            COMMITTED_ARE_KEPT,
            SECOND_SNAPSHOT_WHOLE,
        ),
        (
            "a request from before the snapshot is taken as it is",
            LOG_REPLICA + "_append_entries",
            "previous, entries = self.log.base, entries[skipped:]",
            "previous, entries = self.log.base, entries",
            COMMITTED_ARE_KEPT,
            SNAPSHOT,
        ),
        (
            "a restart does not restore the snapshot",
            LOG_REPLICA + "start",
            "self._restore_state_machine()",
            "pass",
            COMMITTED_ARE_KEPT,
            SNAPSHOT,
        ),
        (
            "a compaction does not write the snapshot",
            LOG + "compact",
            "self.snapshot_changed = self.metadata_changed = True",
            "self.metadata_changed = True",
            ("committed entries last", *WRITTEN),
            SNAPSHOT,
        ),
        (
            "a snapshot that was received is not written",
            LOG + "_replace",
            "self.snapshot_changed = self.metadata_changed = True",
            "self.metadata_changed = True",
            ("committed entries last", *WRITTEN),
            SNAPSHOT,
        ),
        # Epochs.
        (
            "a sealed replica appends and votes",
            LOG_REPLICA + "on_request",
            "    if acceptor.sealed_by is not None and request.epoch == acceptor.epoch.number:\n"
            "        return SealedReply(acceptor.sealed_by)\n"
            "    if request.epoch != acceptor.epoch.number or not self.may_vote():",
            "    if request.epoch != acceptor.epoch.number:",
            COMMITTED_ARE_KEPT,
            REPLACED_DISK,
        ),
        (
            "a sealed candidate counts its own vote",
            LOG_REPLICA + "on_durable",
            " or not self.may_vote()",
            "",
            COMMITTED_ARE_KEPT,
            SINGLE_NODE_WHOLE,
        ),
        (
            "a seal does not stop votes",
            ACCEPTOR + "may_vote",
            " and self.sealed_by is None",
            "",
            COMMITTED_ARE_KEPT,
            SEALED_CANDIDATE_WHOLE,
        ),
        (
            "requests of an epoch are answered before it is installed",
            LOG_REPLICA + "on_request",
            "request.epoch != acceptor.epoch.number or ",
            "",
            COMMITTED_ARE_KEPT,
            EPOCH_BEGINS_WHOLE,
        ),
        (
            "an epoch is installed without a log",
            RECONFIGURATION + "request",
            "replace(registers, log=log)",
            "registers",
            ("committed entries last", "log replies are durable", "log written whole"),
            REPLACED_DISK_WHOLE,
        ),
        (
            "a member joins an epoch without its log",
            ACCEPTOR + "install",
            "return NotAMemberReply(self.epoch.number)\n    self._adopt_log(next_epoch, state.log)",
            "return NotAMemberReply(self.epoch.number)",
            ("committed entries last", "log replies are durable"),
            REPLACED_DISK_WHOLE,
        ),
        (
            "the least up-to-date log is installed",
            MOST_UP_TO_DATE,
            "max(present",
            "min(present",
            ("committed entries last",),
            REPLACED_DISK_WHOLE,
        ),
        (
            "the longest log is installed",
            MOST_UP_TO_DATE,
            "key=lambda state: state.last_position",
            "key=lambda state: state.last_position.index",
            ("committed entries last",),
            TWO_LEADERS_WHOLE,
        ),
        (
            "a log is transferred without the seal of a majority",
            RECONFIGURATION + "_on_sealed",
            "if len(self.sealed_states) < self.epoch.majority:",
            "if False:",
            COMMITTED_ARE_KEPT,
            REPLACED_DISK,
        ),
        (
            "a log is adopted twice in one epoch",
            ACCEPTOR + "_adopt_log",
            "self.log.epoch >= epoch.number",
            "self.log.epoch > epoch.number",
            ("committed entries last", *COMMITTED_ARE_KEPT),
            SINGLE_NODE_WHOLE,
        ),
        (
            "the log of a new epoch is not written",
            LOG + "_replace",
            "self.first_changed_index = 0",
            "pass",
            WRITTEN,
            REPLACED_DISK,
        ),
        (
            "the epoch of a log is not advanced",
            LOG + "adopt",
            "self.epoch = epoch",
            "pass",
            WRITTEN,
            REPLACED_DISK_WHOLE,
        ),
        # Positions and transfers of the log.
        (
            "the position of the least up-to-date log is required",
            BEST_LOG_SOURCE,
            "max(present",
            "min(present",
            ("committed entries last",),
            REPLACED_DISK,
        ),
        (
            "the position of the longest log is required",
            BEST_LOG_SOURCE,
            "key=lambda source: source.position",
            "key=lambda source: source.position.index",
            ("committed entries last",),
            TWO_EQUAL_LOGS,
        ),
        (
            "a member joins an epoch with a log that ends before the required position",
            ACCEPTOR + "_continue_log",
            "if self.log.last_position >= required:",
            "if True:",
            COMMITTED_ARE_KEPT,
            REPLACED_DISK,
        ),
        (
            "a log is required to have as many entries, not as late ones",
            ACCEPTOR + "_continue_log",
            "if self.log.last_position >= required:",
            "if self.log.last_index >= required.index:",
            COMMITTED_ARE_KEPT,
            TWO_EQUAL_LOGS,
        ),
        (
            "the own log that continues in an epoch is not written",
            LOG + "continue_in",
            "self.metadata_changed = True",
            "pass",
            WRITTEN,
            SINGLE_NODE,
        ),
        (
            "the epoch of the own log is not advanced",
            LOG + "continue_in",
            "self.epoch = epoch",
            "pass",
            WRITTEN,
            SINGLE_NODE,
        ),
        (
            "entries after another entry than the reader's are sent",
            LOG_SENDER + "_entries",
            "if not log.contains(previous):",
            "if previous.index > log.last_index:",
            COMMITTED_ARE_KEPT,
            TWO_LEADERS_REPLACED_DISK,
        ),
        (
            "uncommitted entries stay in front of those that were fetched",
            LOG + "accept",
            "if fetched.previous.index < self.last_index:",
            "if False:",
            COMMITTED_ARE_KEPT,
            TWO_LEADERS_REPLACED_DISK,
        ),
        (
            "a snapshot that was fetched replaces later entries",
            LOG_REPLICA + "on_snapshot_fetched",
            " and snapshot.index > self.commit_index",
            "",
            ("same entries",),
            LATER_LEADER,
        ),
        (
            "a leader stays in its role in the next epoch",
            LOG_REPLICA + "on_epoch_joined",
            'self._become_follower("")',
            "pass",
            ("one leader",),
            TWO_LEADERS,
        ),
    )
)
