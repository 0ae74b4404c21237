"""Seeded faults of the model `replica`: writes to disk before replies are sent."""

from __future__ import annotations

from meadowworks.modelcheck.seeded_fault import SeededFault

PACKAGE = "meadowworks.consensus."
ACCEPTOR, PROPOSER = PACKAGE + "acceptor:Acceptor.", PACKAGE + "proposer:Proposer."
CALL_FACTORY = PACKAGE + "call_factory:QuorumCallFactory."
METADATA, WRITE_QUEUE = PACKAGE + "metadata:", PACKAGE + "write_queue:WriteQueue."
REPLICA, RUNNER = PACKAGE + "replica:Replica.", PACKAGE + "operation_runner:OperationRunner."
REPLICA_FAULTS = (
    *(
        SeededFault(name, "replica", target, original, replacement, violates, start_indices=start_indices)
        for name, target, original, replacement, violates, start_indices in (
            (
                "a reply leaves before its write",
                REPLICA + "on_request",
                "self.writes.defer(",
                "self.writes.ready.append(",
                ("told rests on the disk",),
                (),
            ),
            (
                "an own answer counts before its write",
                RUNNER + "send_round",
                "self.writes.defer(",
                "self.writes.ready.append(",
                ("own rests on the disk",),
                (),
            ),
            (
                "what is not yet handed out to be written is not waited for",
                WRITE_QUEUE + "defer",
                "if self._acceptor.has_unwritten_changes():",
                "if False:",
                ("told rests on the disk", "own rests on the disk"),
                (),
            ),
            (
                "a write on its way is not waited for",
                WRITE_QUEUE + "defer",
                "elif self.write_in_flight_id:",
                "elif False:",
                ("told rests on the disk", "own rests on the disk"),
                (3,),
            ),
            (
                "any write opens all gates",
                WRITE_QUEUE + "on_persisted",
                "while self.awaiting_write and self.awaiting_write[0][0] <= write_id:",
                "while self.awaiting_write:",
                ("told rests on the disk", "own rests on the disk"),
                (),
            ),
            (
                "what waits for the next write is let go by the last",
                WRITE_QUEUE + "defer",
                "self.awaiting_write.append((self.last_write_id + 1, item))",
                "self.awaiting_write.append((self.last_write_id, item))",
                ("told rests on the disk", "own rests on the disk", "lasts"),
                (),
            ),
            (
                "a job asks before the life is on the disk",
                RUNNER + "begin_attempt",
                "if not self.started:",
                "if False:",
                ("life first",),
                (),
            ),
            (
                "a start does not wait for its write",
                REPLICA + "start",
                "self.writes.defer(IncarnationPersisted())",
                "self.started = True",
                ("life first", "one ballot"),
                (),
            ),
            (
                "a new life is not written",
                REPLICA + "start",
                "self.acceptor.metadata_changed = True",
                "pass",
                ("life first",),
                (),
            ),
            (
                "a ballot has the life alone in its name",
                CALL_FACTORY + "new_proposer",
                "{self._acceptor.member_id}.{self._acceptor.incarnation}",
                "{self._acceptor.incarnation}",
                ("one ballot",),
                (6,),
            ),
            (
                "a write leaves the life out",
                METADATA + "acceptor_metadata",
                '"life": acceptor.incarnation,',
                '"life": 0,',
                ("never back",),
                (),
            ),
            (
                "another's content is acknowledged as the own",
                RUNNER + "_on_chosen",
                "Committed() if chosen.value == operation.value else Conflict()",
                "Committed()",
                ("one content",),
                (6,),
            ),
            (
                "an acknowledgement does not wait for a majority",
                PROPOSER + "_on_accepted",
                "if len(self.acceptances) < self.epoch.majority:",
                "if False:",
                ("lasts",),
                (0,),
            ),
            (
                "what was promised or accepted is not written",
                ACCEPTOR + "vote",
                "self.changed_slots.add(request.version)",
                "pass",
                ("told rests on the disk", "own rests on the disk", "whole"),
                (),
            ),
            (
                "a seal is not written",
                ACCEPTOR + "seal",
                "self.sealed_by, self.metadata_changed = next_epoch, True",
                "self.sealed_by = next_epoch",
                ("told rests on the disk", "own rests on the disk", "whole"),
                (2,),
            ),
            (
                "a member's new epoch is not written",
                ACCEPTOR + "_join",
                "self.installed, self.metadata_changed = True, True",
                "self.installed = True",
                ("told rests on the disk", "own rests on the disk", "whole"),
                (2,),
            ),
            (
                "the register of members stays on the disk",
                ACCEPTOR + "_join",
                "self.changed_slots.add(MEMBERSHIP_VERSION)",
                "pass",
                ("whole",),
                (2,),
            ),
            (
                "what was handed on is not written",
                ACCEPTOR + "merge_state",
                "self.changed_slots.add(version)",
                "pass",
                ("whole",),
                (4,),
            ),
            (
                "what is settled is not written",
                ACCEPTOR + "learn",
                "self.committed, self.committed_changed = CommittedValue(version, value), True",
                "self.committed, self.committed_changed = CommittedValue(version, value), False",
                ("whole",),
                (6,),
            ),
            (
                "what is settled stays undecided on the disk",
                ACCEPTOR + "learn",
                "self.changed_slots.add(decided_version)",
                "pass",
                ("whole",),
                (6,),
            ),
            (
                "a write holds no slots",
                WRITE_QUEUE + "collect_update",
                "for v in acceptor.changed_slots",
                "for v in ()",
                ("told rests on the disk", "own rests on the disk", "whole"),
                (),
            ),
            (
                "a write leaves the seal out",
                METADATA + "acceptor_metadata",
                "None if acceptor.sealed_by is None else encode_epoch(acceptor.sealed_by)",
                "None",
                ("told rests on the disk", "own rests on the disk", "whole"),
                (2,),
            ),
            (
                "a write does not say who is installed",
                METADATA + "acceptor_metadata",
                '"installed": acceptor.installed,',
                '"installed": False,',
                ("never back", "whole"),
                (),
            ),
        )
    ),
)
