"""Pull requests and replies: a malformed one is rejected or harmless."""

from __future__ import annotations

import pytest

from meadowworks.gossip import messages
from meadowworks.gossip.peer_sampling import PeerRecord
from meadowworks.gossip.updates import SourceDelta
from tests.gateway.mutations import mutants


def test_a_mutated_message_between_nodes_is_malformed_or_harmless() -> None:
    me = PeerRecord("a", "10.0.0.1", 7000, "north", True, "a.1", 5)
    load_report = [[["i", 1, 0, 5, 1, 1, 0]], [["s", 1]]]
    acknowledgement = messages.DrainAcknowledgement("b.1", 7)
    pull = messages.PullRequest(me, (me,), {"s": 3}, 1, 100, load_report, 4, acknowledgement)
    config = messages.CompressedConfig(2, b"{}")
    reply = messages.PullReply(me, (me,), (SourceDelta("s", True, 3, ((3, "k", 1),)),), True, config)
    malformed = 0
    for whole, read in ((pull, messages.decode_pull_request), (reply, messages.decode_pull_reply)):
        raw = messages.decode(whole.encode())
        assert read(whole.encode()) == whole
        for _, mutant in mutants(raw):
            try:
                read(messages.encode(mutant))
            except messages.MalformedMessageError:
                malformed += 1
        with pytest.raises(messages.MalformedMessageError):
            read(whole.encode()[:-1])
    assert malformed > 60
