"""Guards whose absence the scenarios rarely detect, because other guards mask it.

`GUARD_CHECKS` has a check for each of them, which passes with the guard and fails without it.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from meadowworks.consensus.effects import SendRequest
from meadowworks.consensus.messages import InstalledReply, InstallPositionRequest
from meadowworks.consensus.reconfiguration import Reconfiguration
from meadowworks.consensus.replica import Replica
from meadowworks.consensus.timing import RESEND_INTERVAL_NS, STALL_THRESHOLD_NS
from meadowworks.consensus.values import AcceptorSlot, AcceptorState, Ballot, CommittedValue, Epoch
from meadowworks.simulation.control.guards import GUARDS_BY_NAME, UNIT_TESTED_GUARDS, without_guard
from tests.consensus.helpers import ABC, A, B, D, member, started_replica

NEXT_EPOCH = Epoch(2, (A, B, D))
BALLOT = Ballot(1, 3, "c.1")


def replica_in_touch(now_ns: int) -> Replica:
    """Return the replica of member a, with replies of b and c at `now_ns`."""
    replica = started_replica(member("a"))
    replica.tick(now_ns)
    for member_id in ("b", "c"):
        replica.on_query_reply(now_ns, now_ns, member(member_id).query_reply())
    replica.take_effects()
    return replica


def requests_to(replica: Replica) -> list[str]:
    return sorted(effect.address for effect in replica.take_effects() if isinstance(effect, SendRequest))


def check_resend() -> None:
    replica = replica_in_touch(1)
    replica.propose(1, 1, 5, b"five", 10 * RESEND_INTERVAL_NS)
    assert requests_to(replica) == ["h:1", "h:2"]
    replica.tick(1 + RESEND_INTERVAL_NS - 1)
    assert requests_to(replica) == []
    replica.tick(1 + RESEND_INTERVAL_NS)
    assert requests_to(replica) == ["h:1", "h:2"]  # resent without a reply


def check_thaw() -> None:
    replica = replica_in_touch(1)
    late_ns = 1 + 10 * STALL_THRESHOLD_NS  # the process was suspended
    replica.tick(late_ns)
    assert replica.membership_monitor.silent_members(late_ns) == []


def check_install_majority() -> None:
    call = Reconfiguration(ABC, NEXT_EPOCH)
    for member_id in ("a", "b"):
        call.on_reply(member_id, member(member_id).handle(call.request()))
    assert isinstance(call.request(), InstallPositionRequest)
    call.on_reply("a", InstalledReply(NEXT_EPOCH.number))
    assert call.outcome is None  # one of three new members
    call.on_reply("d", InstalledReply(NEXT_EPOCH.number))
    assert call.outcome is not None


def check_transfer() -> None:
    newcomer = member("d")
    state = AcceptorState(CommittedValue(4, b"four"), (), ((5, BALLOT, BALLOT, b"five"),))
    assert newcomer.install(NEXT_EPOCH, state) == InstalledReply(NEXT_EPOCH.number)
    assert newcomer.committed == CommittedValue(4, b"four")
    assert newcomer.slots[5] == AcceptorSlot(BALLOT, BALLOT, b"five")


def check_lease_in_epoch() -> None:
    acceptor = member("b")
    acceptor.seal(ABC.number, NEXT_EPOCH)
    assert not acceptor.may_vote()
    assert not acceptor.query_reply().may_vote


def check_write_before_reply() -> None:
    replica = replica_in_touch(1)
    replica.propose(1, 1, 5, b"five", 10 * RESEND_INTERVAL_NS)
    (operation,) = replica.operations.values()
    assert operation.quorum_call is not None
    # The promise of the own acceptor does not count before it is written.
    assert "a" in dict(operation.quorum_call.unanswered_members())


GUARD_CHECKS: dict[str, Callable[[], None]] = {
    "resend": check_resend,
    "thaw": check_thaw,
    "install-majority": check_install_majority,
    "transfer": check_transfer,
    "lease-in-epoch": check_lease_in_epoch,
    "write-before-reply": check_write_before_reply,
}


@pytest.mark.parametrize("name", GUARD_CHECKS)
def test_check_passes_with_guard(name: str) -> None:
    GUARD_CHECKS[name]()


@pytest.mark.parametrize("name", GUARD_CHECKS)
def test_check_fails_without_guard(name: str) -> None:
    with without_guard(name), pytest.raises(AssertionError):
        GUARD_CHECKS[name]()


def test_unit_tested_guards_match_checks() -> None:
    assert set(UNIT_TESTED_GUARDS) == set(GUARD_CHECKS) <= set(GUARDS_BY_NAME)
