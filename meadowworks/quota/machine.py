"""The two sides of a budget: `Budget` deals it out, a `Holder` lives within its share.

A holder reports at its own pace: its view, what it has under way, and the newest grant that it goes by. Each
report is answered by a grant. Reports and grants may be late, lost, or overtake one another.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median


@dataclass(frozen=True, slots=True)
class Report:
    who: int
    view: int  # calls at once that it holds the backends able to bear
    under_way: int
    number: int  # of the newest grant that it goes by; 0: none
    sent_ns: int  # by the holder's clock


@dataclass(frozen=True, slots=True)
class Grant:
    who: int
    share: int  # calls at once
    number: int
    sent_ns: int  # of the report that it answers: its lease runs from there


@dataclass(slots=True)
class Account:
    view: int = 0
    under_way: int = 0
    expires_ns: int = 0
    shares: dict[int, int] = field(default_factory=dict)  # by grant's number, the newest it goes by and after


class Budget:
    """`handoff`: what was granted counts until its holder has said that it goes by a later grant. Without it
    a share counts as given back as soon as a smaller one was sent, and who has not heard goes over the
    budget."""

    def __init__(self, lease_ns: int, handoff: bool) -> None:
        self.lease_ns, self.handoff = lease_ns, handoff
        self.accounts: dict[int, Account] = {}
        self.given = 0

    def estimate(self) -> int:
        """The median of the live views, never a sum."""
        return int(median(a.view for a in self.accounts.values())) if self.accounts else 0

    def held(self, who: int) -> int:
        """What a holder may have under way at this moment, for all that is known."""
        account = self.accounts[who]
        shares = list(account.shares.values()) or [0]
        return max(account.under_way, max(shares) if self.handoff else shares[-1])

    def expire(self, now: int) -> None:
        """Whose lease is over has stopped by itself: it fences before this."""
        for who in [who for who, account in self.accounts.items() if account.expires_ns <= now]:
            del self.accounts[who]

    def heard(self, now: int, report: Report) -> Grant | None:
        """The grant that answers a report; nothing for one that is older than what was heard already."""
        self.expire(now)
        account = self.accounts.setdefault(report.who, Account())
        if report.sent_ns + self.lease_ns <= max(now, account.expires_ns - 1):
            if not account.shares:
                del self.accounts[report.who]
            return None
        account.view, account.under_way = report.view, report.under_way
        account.expires_ns = report.sent_ns + self.lease_ns
        # Guards against a grant from before the holder's account was closed: what it goes by is gone with it.
        account.shares = {n: share for n, share in account.shares.items() if n >= report.number}
        estimate = self.estimate()
        others = sum(self.held(who) for who in self.accounts if who != report.who)
        share = max(0, min(estimate // len(self.accounts), estimate - others))
        self.given += 1
        account.shares[self.given] = share
        return Grant(report.who, share, self.given, report.sent_ns)

    def left(self, who: int) -> None:
        """It has stopped, with nothing under way."""
        self.accounts.pop(who, None)


class Holder:
    """`margin_ns` before its lease ends it stops and gives up what is under way: clocks differ by less."""

    def __init__(self, who: int, lease_ns: int, margin_ns: int) -> None:
        self.who, self.span_ns = who, lease_ns - margin_ns
        self.share = self.number = self.under_way = 0
        self.until_ns = 0
        self.sent_ns = -1

    def begin(self, now: int) -> bool:
        """Whether one more call may go."""
        if now >= self.until_ns or self.under_way >= self.share:
            return False
        self.under_way += 1
        return True

    def ended(self) -> None:
        self.under_way -= 1

    def report(self, now: int, view: int) -> Report:
        self.sent_ns = now
        return Report(self.who, view, self.under_way, self.number, now)

    def granted(self, grant: Grant) -> None:
        """Takes a grant in, unless a newer one came first."""
        if grant.number <= self.number:
            return
        self.share, self.number = grant.share, grant.number
        self.until_ns = grant.sent_ns + self.span_ns

    def fence(self, now: int) -> bool:
        """Whether its lease is over and calls are under way, which are to be given up now."""
        if now < self.until_ns or not self.under_way:
            return False
        self.under_way = 0
        return True
