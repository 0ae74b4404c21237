"""What keeps the invariants in the product's consensus, each as a patch that takes it out.

A patch stands in place of a method or constant of the product, in this process alone.
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
    """A member of a class or module, and what stands in for it."""

    owner: Any
    name: str
    replacement: Any


@dataclass(frozen=True, slots=True)
class Guard:
    """`patches` take it out; `scenario_number` is the scenario in which that is seen, or was looked for."""

    name: str
    text: str
    scenario_number: int
    patches: tuple[Patch, ...]


def _guard(name: str, text: str, scenario_number: int, owner: Any, member: str, replacement: Any) -> Guard:
    return Guard(name, text, scenario_number, (Patch(owner, member, replacement),))


GUARDS = (
    _guard("life-in-ballot", "a ballot names the life that made it", 2,
           QuorumCallFactory, "new_proposer", replicas.proposer_without_incarnation),
    _guard("write-before-reply", "no reply leaves before its write", 2,
           WriteQueue, "defer", replicas.reply_before_write),
    _guard("sync", "a write is synced before it counts", 2,
           SimulatedStore, "configure", acceptors.configure_without_sync),
    _guard("promise", "a lower ballot is refused", 2,
           Acceptor, "handle", acceptors.handle_without("promise")),
    _guard("adopt-accepted", "a proposer takes up what was accepted", 2,
           Proposer, "on_reply", acceptors.ignore_accepted_value),
    _guard("past", "a version that is chosen is not voted on again", 2,
           Acceptor, "handle", acceptors.handle_without("past")),
    _guard("one-content", "an order is acknowledged by its content", 2,
           Replica, "decided_outcome", replicas.acknowledge_by_version),
    _guard("history", "digests of past versions", 2,
           Replica, "decided_outcome", replicas.acknowledge_by_committed_value),
    _guard("late-is-no-refusal", "not decided in time is no refusal", 2,
           Replica, "complete_operation", replicas.timeout_is_conflict),
    _guard("epoch-compare", "only requests of the own epoch count", 3,
           Acceptor, "handle", acceptors.handle_without("epoch", "seal")),
    _guard("seal", "the old epoch ends before the next begins", 3,
           Acceptor, "seal", acceptors.reply_without_seal),
    _guard("transfer", "a member begins with what the old epoch held", 3,
           Acceptor, "install", acceptors.install_empty_state),
    _guard("install-majority", "a change is done at a majority of the new set", 3,
           Reconfiguration, "on_reply", acceptors.accept_one_install),
    Guard("wiped-is-another", "an empty disk is another member", 3,
          (Patch(node, "load_acceptor", acceptors.load_acceptor_named_by_address),
           Patch(Acceptor, "on_epoch_announced", acceptors.install_when_notified))),
    _guard("hand-over", "a leaver is out, and its copies elsewhere, before it ends", 3,
           Replica, "leave", replicas.leave_at_once),
    _guard("leaver-stays-out", "a candidate has spoken since the epoch began", 3,
           MembershipMonitor, "membership_candidates", replicas.candidates_from_before_epoch),
    _guard("never-below-2t+1", "silence takes nobody out below it", 3,
           membership_monitor, "next_members", acceptors.next_members_without_minimum),
    _guard("replace", "an empty disk that is there takes a lost one's place", 3,
           MembershipMonitor, "desired_members", replicas.never_reconfigure),
    _guard("bring", "who missed a change is installed later", 3,
           Replica, "install_lagging_members", replicas.do_nothing),
    Guard("finish", "what is undecided is finished", 1,
          (Patch(membership_monitor, "FINISH_DELAY_NS", NEVER_NS),
           Patch(membership_monitor, "FINISH_DELAY_DEGRADED_NS", NEVER_NS))),
    _guard("resend", "a request without reply goes again", 3,
           Replica, "send_round", replicas.send_round_once),
    _guard("lease", "sure only with a majority heard", 1,
           Replica, "lease_start_ns", replicas.lease_always_held),
    _guard("lease-from-asking", "a lease counts from the question", 1,
           Replica, "on_query_reply", replicas.lease_from_reply_time),
    _guard("lease-in-epoch", "a sealed or overtaken member gives no lease", 3,
           Acceptor, "may_vote", acceptors.vote_when_installed),
    _guard("read-majority", "a read asks a majority", 1,
           QuorumRead, "on_reply", acceptors.read_from_one),
    _guard("needs-undecided", "what was accepted must be known before it is read", 1,
           Acceptor, "query_reply", acceptors.hide_undecided),
    _guard("thaw", "a process that stood still knows nobody's silence", 3,
           replica, "STALL_THRESHOLD_NS", NEVER_NS),
    _guard("drain-on-disks", "a drain is on enough disks before it is acknowledged", 7,
           DrainLog, "is_replicated", registries.always_replicated),
    _guard("stranger-leaves", "the leave of an unknown backend is kept on disk", 6,
           HeartbeatRegistry, "leave", registries.acknowledge_unknown_without_storing),
)  # fmt: skip
# Taken out alone, 30 seeds of the guard's scenario do not miss these, because others stand behind them; a
# check of the machine itself does (tests/simulation/test_guards_alone.py).
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
    """Run the product without a guard, or with all of them if the name is empty."""
    with contextlib.ExitStack() as stack:
        for patch in GUARDS_BY_NAME[name].patches if name else ():
            stack.enter_context(mock.patch.object(patch.owner, patch.name, patch.replacement))
        yield
