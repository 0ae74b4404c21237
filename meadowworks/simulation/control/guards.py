"""Guards: the safety and liveness mechanisms of the product, each with patches that disable it.

A patch replaces a method or constant of the product in the current process. Running the scenarios without a
guard shows whether the invariants detect its absence.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from unittest import mock

from meadowworks.consensus import membership_monitor, replica
from meadowworks.consensus.acceptor import Acceptor
from meadowworks.consensus.call_factory import QuorumCallFactory
from meadowworks.consensus.membership_monitor import MembershipMonitor
from meadowworks.consensus.proposer import Proposer
from meadowworks.consensus.quorum_read import QuorumRead
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.write_queue import WriteQueue
from meadowworks.registry.drain_log import DrainLog
from meadowworks.registry.heartbeats import HeartbeatRegistry
from meadowworks.simulation.control import acceptor_patches as acceptors
from meadowworks.simulation.control import node
from meadowworks.simulation.control import registry_patches as registries
from meadowworks.simulation.control import replica_patches as replicas
from meadowworks.simulation.control.replica_patches import NEVER_NS
from meadowworks.simulation.control.simulated_disk import SimulatedStore


@dataclass(frozen=True, slots=True)
class Patch:
    """An attribute of a class or module and its replacement."""

    owner: Any
    name: str
    replacement: Any


@dataclass(frozen=True, slots=True)
class Guard:
    """A mechanism of the product; `patches` disable it, and `scenario_number` is the scenario to test it."""

    name: str
    text: str
    scenario_number: int
    patches: tuple[Patch, ...]


def _guard(name: str, text: str, scenario_number: int, owner: Any, member: str, replacement: Any) -> Guard:
    return Guard(name, text, scenario_number, (Patch(owner, member, replacement),))


GUARDS = (
    _guard("life-in-ballot", "a ballot contains the incarnation of its proposer", 2,
           QuorumCallFactory, "new_proposer", replicas.proposer_without_incarnation),
    _guard("write-before-reply", "a reply is sent after its write is durable", 2,
           WriteQueue, "defer", replicas.reply_before_write),
    _guard("sync", "a write is synced before it counts as durable", 2,
           SimulatedStore, "configure", acceptors.configure_without_sync),
    _guard("promise", "a ballot below the promised one is rejected", 2,
           Acceptor, "handle", acceptors.handle_without("promise")),
    _guard("adopt-accepted", "a proposer adopts the accepted value with the highest ballot", 2,
           Proposer, "on_reply", acceptors.ignore_accepted_value),
    _guard("past", "a decided version is not voted on again", 2,
           Acceptor, "handle", acceptors.handle_without("past")),
    _guard("one-content", "an update is acknowledged only if its value was chosen", 2,
           Replica, "decided_outcome", replicas.acknowledge_by_version),
    _guard("history", "digests of past versions identify repeated updates", 2,
           Replica, "decided_outcome", replicas.acknowledge_by_committed_value),
    _guard("late-is-no-refusal", "a timeout is not reported as a conflict", 2,
           Replica, "complete_operation", replicas.timeout_is_conflict),
    _guard("epoch-compare", "requests of other epochs are rejected", 3,
           Acceptor, "handle", acceptors.handle_without("epoch", "seal")),
    _guard("seal", "the old epoch is sealed before the next one begins", 3,
           Acceptor, "seal", acceptors.reply_without_seal),
    _guard("transfer", "a new member starts with the state of the old epoch", 3,
           Acceptor, "install", acceptors.install_empty_state),
    _guard("install-majority", "a membership change needs a majority of the new members", 3,
           Reconfiguration, "on_reply", acceptors.accept_one_install),
    Guard("wiped-is-another", "a machine with an empty disk is a new member", 3,
          (Patch(node, "load_acceptor", acceptors.load_acceptor_named_by_address),
           Patch(Acceptor, "on_epoch_announced", acceptors.install_when_notified))),
    _guard("hand-over", "a leaving member is removed, and its state copied, before it ends", 3,
           Replica, "leave", replicas.leave_at_once),
    _guard("leaver-stays-out", "a candidate has replied since the epoch began", 3,
           MembershipMonitor, "membership_candidates", replicas.candidates_from_before_epoch),
    _guard("never-below-2t+1", "silent members stay if fewer than 2t+1 would remain", 3,
           membership_monitor, "next_members", acceptors.next_members_without_minimum),
    _guard("replace", "a running candidate replaces a lost member", 3,
           MembershipMonitor, "desired_members", replicas.never_reconfigure),
    _guard("bring", "a member that missed a change is installed later", 3,
           Replica, "install_lagging_members", replicas.do_nothing),
    Guard("finish", "undecided versions are completed", 1,
          (Patch(membership_monitor, "FINISH_DELAY_NS", NEVER_NS),
           Patch(membership_monitor, "FINISH_DELAY_DEGRADED_NS", NEVER_NS))),
    _guard("resend", "a request without a reply is resent", 3,
           Replica, "send_round", replicas.send_round_once),
    _guard("lease", "a lease needs replies of a majority", 1,
           Replica, "lease_start_ns", replicas.lease_always_held),
    _guard("lease-from-asking", "a lease starts when the query is sent", 1,
           Replica, "on_query_reply", replicas.lease_from_reply_time),
    _guard("lease-in-epoch", "a sealed or outdated member does not count for leases", 3,
           Acceptor, "may_vote", acceptors.vote_when_installed),
    _guard("read-majority", "a read queries a majority", 1,
           QuorumRead, "on_reply", acceptors.read_from_one),
    _guard("needs-undecided", "a read takes accepted, undecided versions into account", 1,
           Acceptor, "query_reply", acceptors.hide_undecided),
    _guard("thaw", "a resumed process does not count its pause as silence", 3,
           replica, "STALL_THRESHOLD_NS", NEVER_NS),
    _guard("drain-on-disks", "a drain is acknowledged once it is on enough disks", 7,
           DrainLog, "is_replicated", registries.always_replicated),
    _guard("stranger-leaves", "the leave of an unknown backend is stored", 6,
           HeartbeatRegistry, "leave", registries.acknowledge_unknown_without_storing),
)  # fmt: skip
# Guards whose absence is masked by other guards in 30 seeds of their scenarios; unit tests cover these
# (tests/simulation/test_guards_alone.py).
UNIT_TESTED_GUARDS = (
    "transfer",
    "install-majority",
    "thaw",
    "resend",
    "lease-in-epoch",
    "write-before-reply",
)
GUARDS_BY_NAME = {guard.name: guard for guard in GUARDS}


@contextmanager
def without_guard(name: str) -> Iterator[None]:
    """Disable a guard within the context; an empty name disables none."""
    with contextlib.ExitStack() as stack:
        for patch in GUARDS_BY_NAME[name].patches if name else ():
            stack.enter_context(mock.patch.object(patch.owner, patch.name, patch.replacement))
        yield
