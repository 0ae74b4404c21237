"""Requests and replies on the wire."""

from __future__ import annotations

from typing import Any

import pytest

from meadowworks.consensus import codec
from meadowworks.consensus.messages import (
    AcceptedReply,
    AcceptRequest,
    BallotRejectedReply,
    InstalledReply,
    InstallRequest,
    LearnRequest,
    NotAMemberReply,
    PrepareRequest,
    PromiseReply,
    QueryReply,
    QueryRequest,
    SealedReply,
    SealRequest,
    SnapshotReply,
    SnapshotRequest,
    StaleEpochReply,
    VersionDecidedReply,
)
from meadowworks.consensus.values import (
    NO_BALLOT,
    NO_EPOCH_NUMBER,
    AcceptorState,
    Ballot,
    CommittedValue,
)
from meadowworks.gossip import messages as post
from tests.consensus.helpers import ABC
from tests.gateway.mutations import mutants

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
]


def test_every_request_and_reply_is_among_those_that_travel() -> None:
    assert {type(message) for message in MESSAGES} == set(codec.FIELD_DECODERS)


@pytest.mark.parametrize("message", MESSAGES)
def test_requests_and_replies_travel_unchanged_and_mutants_are_refused_or_harmless(message: Any) -> None:
    raw = post.decode(post.encode(codec.encode(message)))
    assert codec.decode(raw) == message
    refused = total = 0
    for _, mutant in mutants(raw):
        total += 1
        try:
            found = codec.decode(mutant)
        except post.DECODE_ERRORS:
            refused += 1
        else:
            assert codec.WIRE_NAMES[type(found)] == mutant[0]
            codec.decode(post.decode(post.encode(codec.encode(found))))
    assert refused > total / 2
    with pytest.raises(post.DECODE_ERRORS):
        codec.decode(raw[:-1])
