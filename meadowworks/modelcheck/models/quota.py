"""Grants under one budget: `meadowworks.quota.machine.Budget` and its `Holder`s, with a network between them
that delays, loses and reorders, calls that come and end, holders that come, leave and die, and a clock that
each reads a little differently.

With acknowledged handoff all calls under way stay under the estimate at every moment. Without it they do not:
the figure `overshoot` is the most calls under way as a multiple of the estimate, over all states.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from meadowworks.modelcheck.model import LivenessProperty, Model, Property, Step, steps_starting_with
from meadowworks.quota.machine import QuotaAccount, QuotaBudget, QuotaGrant, QuotaHolder, UsageReport

LEASE, MARGIN = 2, 1  # units
NEVER = 1 << 20  # a lease that does not end


@dataclass(frozen=True, slots=True)
class Scene:
    handoff: bool
    holders: int = 2
    estimate: int = 2
    views: tuple[int, ...] = ()  # what a holder's view may be; empty: the estimate, always
    deaths: int = 1
    losses: int = 1
    timed: bool = False  # leases end; else time only orders what is sent
    wire: tuple[int, ...] = (
        1,
        1,
        1,
    )  # messages of each holder on their way: one of two may overtake the other
    skew: bool = False  # the last holder's clock is behind by less than the margin (half of a unit)

    @property
    def lease(self) -> int:
        return 2 * LEASE if self.timed else NEVER


class World:
    def __init__(self, scene: Scene) -> None:
        self.scene = scene
        self.outcomes: list[tuple[Any, ...]] = []
        self.now = 0
        self.budget = QuotaBudget(scene.lease, scene.handoff)
        self.holders = [self.fresh(k) for k in range(scene.holders)]
        self.here = [False] * scene.holders
        self.views = [max(scene.views, default=scene.estimate)] * scene.holders
        self.wire: list[UsageReport | QuotaGrant] = []
        self.deaths, self.losses = scene.deaths, scene.losses

    def fresh(self, k: int) -> QuotaHolder:
        return QuotaHolder(k, self.scene.lease, 2 * MARGIN)

    def clock(self, k: int) -> int:
        """Half units, so that clocks can differ by less than the margin."""
        return self.now - (self.scene.skew and k == self.scene.holders - 1)

    def enabled(self) -> Iterable[Step]:
        found: list[Step] = []
        for k, holder in enumerate(self.holders):
            mine = sum(m.holder_id == k for m in self.wire)
            if not self.here[k]:
                found.append(("come", k))
                continue
            if mine < self.scene.wire[k]:
                found.append(("beat", k))
            if self.clock(k) < holder.lease_until_ns:
                found.append(("begin", k))
            if holder.in_flight:
                found.append(("end", k))
            elif not mine:
                found.append(("leave", k))
            if self.deaths:
                found.append(("die", k))
            found += [("view", k, v) for v in self.scene.views if v != self.views[k]]
        nth = [0] * len(self.holders)
        for message in self.wire:
            found.append(("deliver", message.holder_id, nth[message.holder_id]))
            if self.losses:
                found.append(("lose", message.holder_id, nth[message.holder_id]))
            nth[message.holder_id] += 1
        if self.scene.timed and (any(self.here) or self.budget.accounts):
            found.append(("pass",))
        return found

    def take_step(self, step: Step) -> None:
        self.outcomes = []
        kind, *what = step
        getattr(self, "do_" + kind)(*what)
        self.budget.expire(self.now)  # nothing is read of it before this would be done anyway
        self.wire.sort(
            key=lambda m: (m.holder_id, isinstance(m, QuotaGrant))
        )  # each holder's two ways, in order

    def do_come(self, k: int) -> None:
        self.here[k] = True
        self.holders[k] = self.fresh(k)

    def do_beat(self, k: int) -> None:
        self.now += not self.scene.timed
        self.wire.append(self.holders[k].build_report(self.clock(k), self.views[k]))

    def do_begin(self, k: int) -> None:
        holder = self.holders[k]
        before = holder.in_flight
        began = holder.try_start(self.clock(k))
        self.outcomes.append(("begin", began, before, holder.share, self.clock(k) < holder.lease_until_ns))

    def do_end(self, k: int) -> None:
        self.holders[k].on_call_ended()

    def do_leave(self, k: int) -> None:
        self.here[k] = False
        self.budget.on_holder_left(k)
        self.holders[k] = self.fresh(k)

    def do_die(self, k: int) -> None:
        """Its calls die with it; what it said is on its way still."""
        self.deaths -= 1
        self.here[k] = False
        self.holders[k] = self.fresh(k)

    def do_view(self, k: int, view: int) -> None:
        self.views[k] = view

    def nth(self, k: int, place: int) -> int:
        """Where a holder's message lies on the wire."""
        return [at for at, message in enumerate(self.wire) if message.holder_id == k][place]

    def do_deliver(self, k: int, place: int) -> None:
        message = self.wire.pop(self.nth(k, place))
        if isinstance(message, UsageReport):
            if grant := self.budget.on_report(self.now, message):
                self.wire.append(grant)
        elif self.here[message.holder_id]:
            holder = self.holders[message.holder_id]
            before = holder.grant_number
            holder.on_grant(message)
            self.outcomes.append(
                ("granted", before, message.grant_number, holder.grant_number, holder.share, message.share)
            )

    def do_lose(self, k: int, place: int) -> None:
        self.losses -= 1
        del self.wire[self.nth(k, place)]

    def do_pass(self) -> None:
        self.now += 2
        for k, holder in enumerate(self.holders):
            holder.fence(self.clock(k))
        # Too old to be taken in by anybody, now and later.
        self.wire = [m for m in self.wire if m.sent_ns + self.scene.lease > self.now]

    def under_way(self) -> int:
        return sum(holder.in_flight for holder in self.holders)

    def top(self) -> int:
        return max(self.scene.views, default=self.scene.estimate)

    def key(self) -> Any:
        """Times from now, and grants by the order of their numbers."""
        now = self.now
        numbers = {h.grant_number for h in self.holders} | {0}
        numbers.update(n for a in self.budget.accounts.values() for n in a.shares)
        numbers.update(m.grant_number for m in self.wire)
        rank = {n: k for k, n in enumerate(sorted(numbers))}
        if self.scene.timed:

            def at(who: int, sent_ns: int) -> int:
                return sent_ns - now
        else:  # only the order of what each has sent
            sent = {(m.holder_id, m.sent_ns) for m in self.wire}
            sent |= {(who, a.expires_ns - NEVER) for who, a in self.budget.accounts.items()}

            def at(who: int, sent_ns: int) -> int:
                return sum(k == who and when < sent_ns for k, when in sent)

        lease = self.scene.lease
        accounts = tuple(
            [
                (
                    who,
                    a.estimate,
                    a.in_flight,
                    at(who, a.expires_ns - lease),
                    tuple([(rank[n], share) for n, share in a.shares.items()]),
                )
                for who, a in sorted(self.budget.accounts.items())
            ]
        )
        left = [max(h.lease_until_ns - now, -1) if self.scene.timed else 0 for h in self.holders]
        holders = tuple(
            [
                (h.share if over >= 0 else 0, rank[h.grant_number], h.in_flight, over)
                for h, over in zip(self.holders, left, strict=True)
            ]
        )
        wire = tuple(
            [
                (
                    m.holder_id,
                    at(m.holder_id, m.sent_ns),
                    rank[m.grant_number],
                    *((m.estimate, m.in_flight) if isinstance(m, UsageReport) else (m.share,)),
                )
                for m in self.wire
            ]
        )
        return (
            self.scene.handoff,
            self.scene.skew,
            self.scene.timed,
            self.scene.views,
            accounts,
            holders,
            tuple(self.here),
            tuple(self.views),
            wire,
            self.deaths,
            self.losses,
        )

    def freeze(self) -> Any:
        return (
            self.scene,
            self.now,
            self.budget.last_grant_number,
            tuple(self.here),
            tuple(self.views),
            tuple(self.wire),
            self.deaths,
            self.losses,
            tuple(
                (who, a.estimate, a.in_flight, a.expires_ns, tuple(a.shares.items()))
                for who, a in self.budget.accounts.items()
            ),
            tuple((h.share, h.grant_number, h.in_flight, h.lease_until_ns) for h in self.holders),
        )


def thaw(state: Any) -> World:
    scene, now, given, here, views, wire, deaths, losses, accounts, holders = state
    world = World(scene)
    world.now, world.budget.last_grant_number, world.deaths, world.losses = now, given, deaths, losses
    world.here, world.views, world.wire = list(here), list(views), list(wire)
    for who, view, under_way, expires, shares in accounts:
        world.budget.accounts[who] = QuotaAccount(view, under_way, expires, dict(shares))
    for holder, kept in zip(world.holders, holders, strict=True):
        holder.share, holder.grant_number, holder.in_flight, holder.lease_until_ns = kept
    return world


def under_estimate(world: World) -> bool:
    return not world.scene.handoff or world.under_way() <= world.top()


def granted_under(world: World) -> bool:
    """The newest share of each, all together: what the budget never over-commits."""
    return sum([*a.shares.values()][-1] for a in world.budget.accounts.values() if a.shares) <= world.top()


def within_share(world: World) -> bool:
    return all(
        not began or before < share and leased
        for kind, *rest in world.outcomes
        if kind == "begin"
        for began, before, share, leased in (rest,)
    )


def newer_only(world: World) -> bool:
    return all(
        after >= before and (number > before) == (after == number != before)
        for kind, *rest in world.outcomes
        if kind == "granted"
        for before, number, after, _, _ in (rest,)
    )


def fenced(world: World) -> bool:
    """Nobody has calls under way for whom nothing is reserved any more."""
    return all(not h.in_flight or k in world.budget.accounts for k, h in enumerate(world.holders))


def starved(world: World) -> bool:
    """All are there, and one of them has been given nothing. Where leases lapse between two reports, two
    holders may take turns for ever: that is no fault of the budget."""
    enough = world.scene.estimate >= world.scene.holders
    return enough and not world.scene.timed and all(world.here) and any(h.share == 0 for h in world.holders)


PROPERTIES = (
    Property(
        "under the estimate",
        "with acknowledged handoff, calls under way never exceed the estimate",
        under_estimate,
    ),
    Property("granted under it", "the newest shares of all holders never exceed the estimate", granted_under),
    Property(
        "within the share", "a holder begins a call only within its share and its lease", within_share, "step"
    ),
    Property("newer only", "a grant that was overtaken by a newer one is not gone by", newer_only, "step"),
    Property("fenced", "a holder has stopped before what it holds is given to others", fenced),
)


def lives(holders: int) -> tuple[LivenessProperty, ...]:
    fair = [steps_starting_with(name, k) for name in ("beat", "end", "deliver") for k in range(holders)]
    return (
        LivenessProperty(
            "a share at last",
            "who stays is given a share, if it goes round, all report, calls end and no lease lapses",
            starved,
            tuple(fair),
        ),
    )


SAYS = {
    "come": "holder {0} comes",
    "beat": "holder {0} reports",
    "begin": "a call wants to begin at holder {0}",
    "end": "a call ends at holder {0}",
    "leave": "holder {0} leaves, with nothing under way",
    "die": "holder {0} dies, and its calls with it",
    "view": "holder {0} now holds that {1} calls can be borne",
    "deliver": "message {1} of holder {0}'s on the wire arrives",
    "lose": "message {1} of holder {0}'s is lost",
    "pass": "a unit of time goes by",
}


def say(step: Step) -> str:
    return SAYS[step[0]].format(*step[1:])


def starts(scenes: tuple[Scene, ...]) -> list[World]:
    return [World(scene) for scene in scenes]


def overshoot(world: World) -> dict[str, float]:
    how = "with handoff" if world.scene.handoff else "without handoff"
    return {f"overshoot {how}": world.under_way() / world.top()}


def model(large: bool = False) -> Model:
    late = Scene(True, deaths=0, losses=0)  # no lease ends
    leases = Scene(True, timed=True, losses=0)
    scenes = [late, replace(late, handoff=False), replace(leases, deaths=0, skew=True)]
    scenes.append(replace(late, wire=(2, 1), estimate=1))  # one may overtake another
    if large:
        scenes += [leases, replace(leases, handoff=False), replace(late, wire=(2, 1))]
    return Model(
        "grants",
        "grants under one budget, while reports are late and holders come and go",
        partial(starts, tuple(scenes)),
        thaw,
        say,
        PROPERTIES,
        lives(2),
        metrics=overshoot,
    )
