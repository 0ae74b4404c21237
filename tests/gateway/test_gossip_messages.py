"""Pull requests and replies: a mutated body is rejected or decoded, without other errors."""

from __future__ import annotations

import pytest

from meadowworks.gossip import messages
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta
from tests.gateway.mutations import mutants


def test_a_mutated_pull_request_or_reply_is_rejected_or_decoded() -> None:
    peer = PeerRecord("a", "10.0.0.1", 7000, "north", True, "a.1", 5)
    load_report = [[["i", 1, 0, 5, 1, 1, 0]], [["s", 1]]]
    acknowledgement = messages.DrainAcknowledgement("b.1", 7)
    pull = messages.PullRequest(peer, (peer,), {"s": 3}, 1, 100, load_report, 4, acknowledgement)
    config = messages.CompressedConfig(2, b"{}")
    reply = messages.PullReply(peer, (peer,), (SourceDelta("s", True, 3, ((3, "k", 1),)),), True, config)
    malformed = 0
    for message, decode in ((pull, messages.decode_pull_request), (reply, messages.decode_pull_reply)):
        raw = messages.decode(message.encode())
        assert decode(message.encode()) == message
        for _, mutant in mutants(raw):
            try:
                decode(messages.encode(mutant))
            except messages.MalformedMessageError:
                malformed += 1
        with pytest.raises(messages.MalformedMessageError):
            decode(message.encode()[:-1])
    assert malformed > 60
