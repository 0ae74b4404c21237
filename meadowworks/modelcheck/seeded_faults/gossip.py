"""Seeded faults of the model of updates between controllers and heartbeats."""

from __future__ import annotations

from meadowworks.modelcheck.fault import Fault

NEWS, BEATS = "meadowworks.gossip.updates:", "meadowworks.registry.heartbeats:Beats."
FENCES = "meadowworks.registry.drain_log:Fences."
GOSSIP_FAULTS = (
    *(
        Fault(name, "telegraph", at, was, now, breaks)
        for name, at, was, now, breaks in (
            (
                "a late beat takes a drain back",
                BEATS + "beat",
                "state = max(told, key=RANK.__getitem__)",
                'state = status["state"]',
                ("never back", "own words"),
            ),
            (
                "the newest word counts, not the furthest",
                "meadowworks.registry.backends:Lives.state",
                "rank = max(RANK[s.state] for s in sources.values())",
                "rank = RANK[list(sources.values())[-1].state]",
                ("never back", "acknowledged", "same list", "own words"),
            ),
            (
                "a signalbox's first word of a life stands",
                "meadowworks.registry.backends:Lives.told",
                "sources[event.source] = said",
                "sources.setdefault(event.source, said)",
                ("own words",),
            ),
            (
                "a change is held and not folded",
                NEWS + "News.take",
                "if old is None or old[1] != value:",
                "if old is None:",
                ("same list",),
            ),
            (
                "one that calls a life quiet is enough",
                "meadowworks.registry.backends:Lives.state",
                "all(s.quiet for s in alive.values())",
                "any(s.quiet for s in alive.values())",
                ("quiet by all",),
            ),
            (
                "a receipt is not waited for",
                FENCES + "kept",
                "self.receipts.get(host, -1) >= version",
                "version >= 0",
                ("acknowledged",),
            ),
            (
                "a receipt of any version is one",
                FENCES + "kept",
                "self.receipts.get(host, -1) >= version",
                "host in self.receipts",
                ("acknowledged",),
            ),
            (
                "changes are told to who needs a snapshot",
                NEWS + "News.lacks",
                "whole = have < source.floor or have < 0",
                "whole = have < 0",
                ("copies whole",),
            ),
            (
                "a snapshot leaves what is not in it",
                NEWS + "News.take",
                "left = set(source.entries) - {key for _, key, _ in piece.changes}",
                "left = set()",
                ("copies whole",),
            ),
            (
                "who took a snapshot tells changes from before it",
                NEWS + "News.take",
                "source.floor = piece.top",
                "pass",
                ("copies whole",),
            ),
            (
                "an older answer is taken",
                NEWS + "News.take",
                "if piece.top <= source.top and not fresh:",
                "if False:",
                ("copies whole", "never back", "same list"),
            ),
            (
                "the first change that is lacked is left out",
                NEWS + "News.lacks",
                "source.order.irange(have + 1)",
                "source.order.irange(have + 2)",
                ("copies whole", "acknowledged", "same list"),
            ),
            (
                "an older card replaces a newer",
                "meadowworks.gossip.peer_sampling:Members.met",
                "if old is None or card.beat > old.card.beat:",
                "if True:",
                ("cards rise",),
            ),
            (
                "a silent life is gone for good",
                BEATS + "tick",
                "life.quiet = True",
                "life.state = GONE",
                ("none buried alive",),
            ),
        )
    ),
)
