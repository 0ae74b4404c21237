"""Encoding and decoding of requests and replies."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.consensus import codec
from meadowworks.consensus.log_messages import (
    AppendReply,
    AppendRequest,
    CampaignReply,
    CampaignRequest,
    LogVoteReply,
    LogVoteRequest,
    SnapshotAppendRequest,
    SnapshotOfferRequest,
    SnapshotPendingReply,
)
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallPositionRequest,
    InstallRequest,
    LearnRequest,
    LogMissingReply,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    SealedPositionReply,
    SealedReply,
    SealPositionRequest,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.replicated_log import Entry, EntryPosition, LogSnapshot, LogSource, LogState
from meadowworks.consensus.transfer_messages import (
    EntriesReply,
    EntriesRequest,
    SnapshotChunkReply,
    SnapshotChunkRequest,
)
from meadowworks.consensus.values import (
    NO_BALLOT,
    NO_EPOCH_NUMBER,
    AcceptorState,
    Ballot,
    CommittedValue,
    Term,
)
from meadowworks.gossip import messages as gossip_messages
from tests.consensus.helpers import ABC
from tests.gateway.mutations import mutants

POSITION = EntryPosition(Term(1, 1), 3)
SNAPSHOT = LogSnapshot(3, Term(1, 1), b"s")
MESSAGES = [
    PrepareRequest(1, 2, Ballot(1, 3, "p")),
    AcceptRequest(1, 2, Ballot(1, 3, "p"), b"c"),
    SealRequest(1, ABC),
    InstallRequest(
        1,
        ABC,
        AcceptorState(CommittedValue(2, b"x"), ((1, b"d"),), ((3, Ballot(1, 1, "p"), NO_BALLOT, b""),)),
    ),
    QueryRequest(1),
    SnapshotRequest(2),
    LearnRequest(1, CommittedValue(2, b"x"), ((1, b"d"), (2, b"e"))),
    QueryReply(1, True, 3, 2, "d", "h:1", False),
    PromiseReply(Ballot(1, 1, "p"), NO_BALLOT, b""),
    AcceptedReply(Ballot(1, 1, "p")),
    BallotRejectedReply(Ballot(2, 1, "p")),
    VersionDecidedReply(CommittedValue(4, b"d"), ((4, b"d"),)),
    StaleEpochReply(ABC),
    SealedReply(ABC),
    SealedReply(ABC, AcceptorState(CommittedValue(), (), ())),
    InstalledReply(2),
    NotAMemberReply(NO_EPOCH_NUMBER),
    SnapshotReply(CommittedValue(1, b"x"), ()),
    SealedReply(ABC, AcceptorState(CommittedValue(), (), (), LogState(SNAPSHOT, (Entry(Term(1, 2), b"e"),)))),
    AppendRequest(1, Term(1, 2), "p", POSITION, (Entry(Term(1, 2), b"e"),), 3, 4),
    SnapshotAppendRequest(1, Term(1, 2), "p", SNAPSHOT, 4),
    LogVoteRequest(1, Term(1, 2), "p", POSITION, True, False),
    CampaignRequest(1, Term(1, 2)),
    AppendReply(Term(1, 2), True, 5, 4),
    LogVoteReply(Term(1, 2), Term(1, 3), False, True),
    CampaignReply(Term(1, 2)),
    SealPositionRequest(1, ABC),
    InstallPositionRequest(1, ABC, AcceptorState(CommittedValue(), (), ()), LogSource(POSITION, "h:1")),
    InstallPositionRequest(1, ABC, AcceptorState(CommittedValue(), (), ()), None),
    SealedPositionReply(ABC, AcceptorState(CommittedValue(), (), ()), LogSource(POSITION, "h:1")),
    LogMissingReply(1),
    SnapshotOfferRequest(1, Term(1, 2), "p", POSITION, 4),
    SnapshotPendingReply(Term(1, 2), 4),
    SnapshotChunkRequest(1, POSITION, 9),
    SnapshotChunkReply(POSITION, 12, b"digest", 9, b"end"),
    EntriesRequest(1, POSITION),
    EntriesReply(POSITION, True, (Entry(Term(1, 2), b"e"),)),
]


def test_every_message_type_is_covered() -> None:
    assert {type(message) for message in MESSAGES} == set(codec.FIELD_DECODERS)


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_round_trip_and_mutants_are_rejected_or_decode_to_valid_messages(message: Any) -> None:
    raw = gossip_messages.decode(gossip_messages.encode(codec.encode(message)))
    assert codec.decode(raw) == message
    rejected = total = 0
    for _, mutant in mutants(raw):
        total += 1
        try:
            decoded = codec.decode(mutant)
        except gossip_messages.DECODE_ERRORS:
            rejected += 1
        else:
            assert codec.WIRE_NAMES[type(decoded)] == mutant[0]
            codec.decode(gossip_messages.decode(gossip_messages.encode(codec.encode(decoded))))
    assert rejected > total / 2
    with pytest.raises(gossip_messages.DECODE_ERRORS):
        codec.decode(raw[:-1])
