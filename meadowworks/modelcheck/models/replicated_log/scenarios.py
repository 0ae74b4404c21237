"""The form of a scenario, and the scenarios of the model."""

from __future__ import annotations

from dataclasses import dataclass

from meadowworks.consensus.values import Members
from meadowworks.modelcheck.models.consensus.scenarios import members_of

SETTLE = "settle"  # in a preparation: deliver and write until nothing is left


@dataclass(frozen=True, slots=True)
class Preparation:
    """A step before the exploration begins.

    `SETTLE` delivers `deliveries` messages at most between the nodes that are connected meanwhile, and drops
    all others.
    """

    kind: str
    node: int = 0
    connected: tuple[int, ...] = (0, 1, 2)
    deliveries: int = 1000


@dataclass(frozen=True, slots=True)
class LogScenario:
    """The initial state of a world, and how often each event may occur in it.

    Nodes are given by index. `timeouts`, `power_losses` and `wiped` name a node once for each time that an
    election starts there, that it loses power, or that its disk is replaced by an empty one. `disconnected`
    holds the pairs of nodes that exchange no messages of the log. `sends_whole_states`: reconfigurations
    use the messages of earlier releases.
    """

    name: str
    members: Members
    preparations: tuple[Preparation, ...] = ()
    next_members: Members = ()
    timeouts: tuple[int, ...] = ()
    power_losses: tuple[int, ...] = ()
    wiped: tuple[int, ...] = ()
    proposals: int = 0
    barriers: int = 0
    compactions: int = 0
    heartbeats: int = 0
    copies: int = 0
    reconfigurations: int = 0
    disconnected: tuple[tuple[int, int], ...] = ()
    sends_whole_states: bool = False


A, AB, ABC = members_of("a"), members_of("a", "b"), members_of("a", "b", "c")
ABC_WITH_C_REPLACED = members_of("a", "b", "c2")
A_AND_B, A_AND_C = (0, 1), (0, 2)

# The first leader is a, and its first entry is everywhere.
A_LEADS = (Preparation("timeout", 0), Preparation(SETTLE))
# Then a has proposed an entry, which is being written and sent.
A_PROPOSES = (*A_LEADS, Preparation("propose", 0))
# a proposes an entry that no other node gets.
A_PROPOSES_ALONE = (Preparation("propose", 0), Preparation(SETTLE, connected=(0,)))
# b votes for c.
C_IS_ELECTED = (Preparation("timeout", 2), Preparation(SETTLE, connected=(1, 2), deliveries=2))
# a and c are leaders of two terms, each with an entry that no other node has.
A_AND_C_LEAD = (*A_LEADS, *A_PROPOSES_ALONE, *C_IS_ELECTED)
# Then c has committed an entry with b, in another term than the entry that a has alone.
C_COMMITS_WHILE_A_LEADS = (
    *A_AND_C_LEAD,
    Preparation("propose", 2),
    Preparation(SETTLE, connected=(1, 2)),
    Preparation("heartbeat", 2),
    Preparation(SETTLE, connected=(1, 2)),
)
# The same, and the entries that a has alone are as many.
C_COMMITS_AS_MANY_ENTRIES = (*A_LEADS, *A_PROPOSES_ALONE, *C_COMMITS_WHILE_A_LEADS[len(A_LEADS) :])
# After `A_AND_C_LEAD` a has received the later term.
A_WAS_LEADER = (
    *A_AND_C_LEAD,
    Preparation("heartbeat", 0),
    Preparation(SETTLE, connected=(0, 1), deliveries=2),  # the reply with the later term
)
# An entry of c has replaced two of a.
A_HAS_A_SHORTER_LOG = (
    *A_LEADS,
    *A_PROPOSES_ALONE,
    *A_PROPOSES_ALONE,
    *C_IS_ELECTED,
    Preparation("heartbeat", 2),
    Preparation(SETTLE, connected=(0, 2)),
)
# a has committed an entry that c lacks.
C_LACKS_AN_ENTRY = (*A_LEADS, Preparation("propose", 0), Preparation(SETTLE, connected=(0, 1)))
# a has committed its first entry with the vote and the disk of b, and c has received nothing.
C_HAS_NO_ENTRY = (Preparation("timeout", 0), Preparation(SETTLE, connected=(0, 1)))
# Then a has replaced the entry by a snapshot.
A_HAS_A_SNAPSHOT = (*C_HAS_NO_ENTRY, Preparation("compact", 0))
# c is a candidate in the first term, and its requests are lost.
C_IS_CANDIDATE = (Preparation("timeout", 2), Preparation(SETTLE, connected=()))
# b has voted for c in the first term, and c has not received the vote.
B_HAS_VOTED = (Preparation("timeout", 2), Preparation(SETTLE, connected=(1, 2), deliveries=1))

SCENARIOS = (
    LogScenario("two nodes, an entry", AB, timeouts=(0, 1), power_losses=(0,), proposals=1),
    LogScenario("an entry, another leader", ABC, A_PROPOSES, timeouts=(1,), disconnected=(A_AND_C,)),
    LogScenario(
        "two candidates, the voter loses power",
        ABC,
        timeouts=(0, 2),
        power_losses=(1,),
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "a second election, the vote of the first is late",
        ABC,
        C_IS_CANDIDATE,
        timeouts=(0, 0, 2),
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "a second election, the first request is late",
        ABC,
        B_HAS_VOTED,
        timeouts=(0, 0),
        power_losses=(0,),
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "an entry of an earlier term, the leaders alternate",
        ABC,
        A_WAS_LEADER,
        timeouts=(0, 2),
        power_losses=(1,),
        heartbeats=1,
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "a former leader leads again with a shorter log",
        ABC,
        A_HAS_A_SHORTER_LOG,
        timeouts=(0,),
        power_losses=(0,),
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "a barrier, another leader", ABC, A_LEADS, timeouts=(1,), barriers=1, disconnected=(A_AND_C,)
    ),
    LogScenario(
        "a barrier, a follower lacks an entry",
        ABC,
        C_LACKS_AN_ENTRY,
        timeouts=(1,),
        barriers=1,
        disconnected=(A_AND_B, A_AND_C),
    ),
    LogScenario(
        "a follower is behind a snapshot",
        ABC,
        C_HAS_NO_ENTRY,
        power_losses=(2,),
        proposals=1,
        compactions=1,
        heartbeats=2,
        disconnected=(A_AND_B,),
    ),
    LogScenario(
        "a snapshot arrives twice",
        ABC,
        A_HAS_A_SNAPSHOT,
        proposals=1,
        heartbeats=2,
        copies=1,
        disconnected=(A_AND_B,),
    ),
    LogScenario(
        "a replaced disk joins the next epoch",
        ABC,
        A_PROPOSES,
        next_members=ABC_WITH_C_REPLACED,
        wiped=(2,),
        reconfigurations=1,
        disconnected=(A_AND_B,),
    ),
    LogScenario(
        "a candidate is sealed",
        ABC,
        A_WAS_LEADER,
        next_members=ABC,
        timeouts=(0,),
        reconfigurations=1,
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "the epoch of a single node ends twice",
        A,
        next_members=A,
        timeouts=(0,),
        power_losses=(0,),
        reconfigurations=2,
    ),
    LogScenario(
        "an epoch begins with two of three members",
        ABC,
        next_members=ABC,
        timeouts=(0,),
        reconfigurations=1,
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "two leaders of one epoch join the next",
        ABC,
        A_AND_C_LEAD,
        next_members=ABC,
        heartbeats=1,
        reconfigurations=1,
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "a replaced disk joins the next epoch with a whole state",
        ABC,
        A_PROPOSES,
        next_members=ABC_WITH_C_REPLACED,
        wiped=(2,),
        reconfigurations=1,
        disconnected=(A_AND_B,),
        sends_whole_states=True,
    ),
    LogScenario(
        "the epoch of a single node ends twice with a whole state",
        A,
        next_members=A,
        timeouts=(0,),
        power_losses=(0,),
        reconfigurations=2,
        sends_whole_states=True,
    ),
    LogScenario(
        "two leaders of one epoch join the next with whole states",
        ABC,
        A_AND_C_LEAD,
        next_members=ABC,
        heartbeats=1,
        reconfigurations=1,
        disconnected=(A_AND_C,),
        sends_whole_states=True,
    ),
    LogScenario(
        "an epoch begins with two of three members and whole states",
        ABC,
        next_members=ABC,
        timeouts=(0,),
        reconfigurations=1,
        disconnected=(A_AND_C,),
        sends_whole_states=True,
    ),
    LogScenario(
        "a whole snapshot arrives twice",
        ABC,
        A_HAS_A_SNAPSHOT,
        proposals=1,
        heartbeats=2,
        copies=1,
        disconnected=(A_AND_B,),
        sends_whole_states=True,
    ),
    LogScenario(
        "a candidate is sealed with a whole state",
        ABC,
        A_WAS_LEADER,
        next_members=ABC,
        timeouts=(0,),
        reconfigurations=1,
        disconnected=(A_AND_C,),
        sends_whole_states=True,
    ),
    LogScenario(
        "two leaders of one epoch, a disk is replaced",
        ABC,
        C_COMMITS_WHILE_A_LEADS,
        next_members=ABC_WITH_C_REPLACED,
        wiped=(2,),
        reconfigurations=1,
        disconnected=(A_AND_B, A_AND_C),
    ),
    LogScenario(
        "two leaders of one epoch with logs of one length, a disk is replaced",
        ABC,
        C_COMMITS_AS_MANY_ENTRIES,
        next_members=ABC_WITH_C_REPLACED,
        wiped=(2,),
        reconfigurations=1,
        disconnected=(A_AND_B, A_AND_C),
    ),
    LogScenario(
        "another leader appends while a follower reads a snapshot",
        ABC,
        A_HAS_A_SNAPSHOT,
        timeouts=(1,),
        heartbeats=2,
        disconnected=(A_AND_B,),
    ),
    LogScenario(
        "a replaced disk joins the next epoch with a snapshot",
        ABC,
        (*A_HAS_A_SNAPSHOT, Preparation("propose", 0)),
        next_members=ABC_WITH_C_REPLACED,
        wiped=(2,),
        compactions=1,
        reconfigurations=1,
        disconnected=(A_AND_B,),
    ),
    LogScenario(
        "entries are compacted while a follower reads a snapshot",
        ABC,
        A_HAS_A_SNAPSHOT,
        proposals=2,
        compactions=2,
        heartbeats=1,
        disconnected=(A_AND_B,),
    ),
)

# `check --large` adds these.
LARGE_SCENARIOS = (
    LogScenario(
        "an entry, another leader, power is lost",
        ABC,
        A_LEADS,
        timeouts=(1,),
        power_losses=(0,),
        proposals=1,
        disconnected=(A_AND_C,),
    ),
    LogScenario(
        "a follower is behind a snapshot, requests are duplicated",
        ABC,
        C_HAS_NO_ENTRY,
        power_losses=(2,),
        proposals=1,
        compactions=1,
        heartbeats=2,
        copies=1,
        disconnected=(A_AND_B,),
    ),
    LogScenario(
        "a replaced disk joins the next epoch, all nodes are connected",
        ABC,
        A_LEADS,
        next_members=ABC_WITH_C_REPLACED,
        wiped=(2,),
        proposals=1,
        reconfigurations=1,
    ),
)
