"""Seeded faults of the model of one request through the proxy."""

from __future__ import annotations

from meadowworks.modelcheck.fault import SeededFault

AGAIN, MACHINE = "meadowworks.attempts.retry_policy:", "meadowworks.attempts.machine:Attempts."
CLIENTS, BREAKS, KEPT, NAMELESS, BETWEEN = tuple(range(9)), (9,), (10,), (12,), (14,)  # worlds of the model
JOURNEY, ANSWERS = "meadowworks.forwarding.attempts:Journey.", "meadowworks.forwarding.response_check:"
FORWARDING_FAULTS = (
    *(
        SeededFault(name, "carriage", at, was, now, breaks, start_indices=CLIENTS)
        for name, at, was, now, breaks in (
            (
                "any failure of a backend is proof",
                ANSWERS + "proof",
                "if not_run or status == 421:",
                "if not_run or status >= 400:",
                ("at most once", "promises kept"),
            ),
            (
                "another request's answer is taken",
                ANSWERS + "judge",
                "if spoilt(asked, status, get, first):",
                "if False:",
                ("own answer", "at most once", "promises kept"),
            ),
            (
                "ids of failures are not compared",
                ANSWERS + "spoilt",
                "(told is not None or status < 300 or not first)",
                "(status < 300 or told is None and not first)",
                ("at most once", "promises kept"),
            ),
            (
                "a failure that names no request is taken on a line that carried others",
                ANSWERS + "spoilt",
                " or not first)",
                ")",
                ("at most once", "promises kept"),
            ),
            (
                "a line with a spoilt answer is kept",
                ANSWERS + "judge",
                "return Verdict(DROPPED, sound=False, keep=False)",
                "return Verdict(UNRUN, sound=False, keep=False)",
                ("at most once", "promises kept"),
            ),
            (
                "a line to another life is kept",
                ANSWERS + "judge",
                "!= life, keep=False)",
                "!= life)",
                ("own lines",),
            ),
            (
                "an unsafe request has another try beside it",
                AGAIN + "may_follow",
                "if not sure(tries) and not (way.repeatable and policy >= AFTER_ANY):",
                "if False:",
                ("at most once",),
            ),
            (
                "what was given up is told 503",
                JOURNEY + "refuse",
                "if sure([*self.tries.values()]):",
                "if True:",
                ("promises kept",),
            ),
            (
                "a backend's own 503 goes to the client",
                JOURNEY + "ended",
                "if state == DROPPED and status and status not in PROMISES:",
                "if state == DROPPED and status:",
                ("promises kept",),
            ),
            (
                "a reset is proof",
                JOURNEY + "ended",
                "self.tries[number].state = state",
                "self.tries[number].state = state if status or state != DROPPED else 2",
                ("at most once", "promises kept"),
            ),
            (
                "one try more than allowed",
                "meadowworks.forwarding.attempts:policy",
                "if tries <= 1 or jammed:",
                "if jammed:",
                ("tries bounded",),
            ),
            (
                "what drains is in the tables",
                "meadowworks.registry.backends:BackendDirectory.merged_state",
                "return GONE if rank == STATE_RANK[GONE] else DRAINING",
                "return GONE if rank == STATE_RANK[GONE] else UP",
                ("drains kept",),
            ),
            (
                "a request whose tries are spent waits",
                JOURNEY + "follow",
                "return self.refuse(now, chance)",
                "return self.wait(now)",
                ("told at once",),
            ),
        )
    ),
)
