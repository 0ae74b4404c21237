"""The two sides of a budget: `Budget` deals it out, a `Holder` lives within its share.

A holder reports at its own pace: its view, what it has under way, and the newest grant that it goes by. Each
report is answered by a grant. Reports and grants may be late, lost, or overtake one another.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median


@dataclass(frozen=True, slots=True)
class UsageReport:
    holder_id: int
    estimate: int  # calls at once that it holds the backends able to bear
    in_flight: int
    grant_number: int  # of the newest grant that it goes by; 0: none
    sent_ns: int  # by the holder's clock


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    holder_id: int
    share: int  # calls at once
    grant_number: int
    sent_ns: int  # of the report that it answers: its lease runs from there


@dataclass(slots=True)
class QuotaAccount:
    estimate: int = 0
    in_flight: int = 0
    expires_ns: int = 0
    shares: dict[int, int] = field(default_factory=dict)  # by grant's number, the newest it goes by and after


class QuotaBudget:
    """`handoff`: what was granted counts until its holder has said that it goes by a later grant. Without it
    a share counts as given back as soon as a smaller one was sent, and who has not heard goes over the
    budget."""

    def __init__(self, lease_ns: int, handoff: bool) -> None:
        self.lease_ns, self.acknowledged_handoff = lease_ns, handoff
        self.accounts: dict[int, QuotaAccount] = {}
        self.last_grant_number = 0

    def estimate(self) -> int:
        """The median of the live views, never a sum."""
        return int(median(a.estimate for a in self.accounts.values())) if self.accounts else 0

    def reserved(self, who: int) -> int:
        """What a holder may have under way at this moment, for all that is known."""
        account = self.accounts[who]
        shares = list(account.shares.values()) or [0]
        return max(account.in_flight, max(shares) if self.acknowledged_handoff else shares[-1])

    def expire(self, now: int) -> None:
        """Whose lease is over has stopped by itself: it fences before this."""
        for who in [who for who, account in self.accounts.items() if account.expires_ns <= now]:
            del self.accounts[who]

    def on_report(self, now: int, report: UsageReport) -> QuotaGrant | None:
        """The grant that answers a report; nothing for one that is older than what was heard already."""
        self.expire(now)
        account = self.accounts.setdefault(report.holder_id, QuotaAccount())
        if report.sent_ns + self.lease_ns <= max(now, account.expires_ns - 1):
            if not account.shares:
                del self.accounts[report.holder_id]
            return None
        account.estimate, account.in_flight = report.estimate, report.in_flight
        account.expires_ns = report.sent_ns + self.lease_ns
        # Guards against a grant from before the holder's account was closed: what it goes by is gone with it.
        account.shares = {n: share for n, share in account.shares.items() if n >= report.grant_number}
        estimate = self.estimate()
        others = sum(self.reserved(who) for who in self.accounts if who != report.holder_id)
        share = max(0, min(estimate // len(self.accounts), estimate - others))
        self.last_grant_number += 1
        account.shares[self.last_grant_number] = share
        return QuotaGrant(report.holder_id, share, self.last_grant_number, report.sent_ns)

    def on_holder_left(self, who: int) -> None:
        """It has stopped, with nothing under way."""
        self.accounts.pop(who, None)


class QuotaHolder:
    """`margin_ns` before its lease ends it stops and gives up what is under way: clocks differ by less."""

    def __init__(self, who: int, lease_ns: int, margin_ns: int) -> None:
        self.holder_id, self.usable_lease_ns = who, lease_ns - margin_ns
        self.share = self.grant_number = self.in_flight = 0
        self.lease_until_ns = 0
        self.sent_ns = -1

    def try_start(self, now: int) -> bool:
        """Whether one more call may go."""
        if now >= self.lease_until_ns or self.in_flight >= self.share:
            return False
        self.in_flight += 1
        return True

    def on_call_ended(self) -> None:
        self.in_flight -= 1

    def build_report(self, now: int, view: int) -> UsageReport:
        self.sent_ns = now
        return UsageReport(self.holder_id, view, self.in_flight, self.grant_number, now)

    def on_grant(self, grant: QuotaGrant) -> None:
        """Takes a grant in, unless a newer one came first."""
        if grant.grant_number <= self.grant_number:
            return
        self.share, self.grant_number = grant.share, grant.grant_number
        self.lease_until_ns = grant.sent_ns + self.usable_lease_ns

    def fence(self, now: int) -> bool:
        """Whether its lease is over and calls are under way, which are to be given up now."""
        if now < self.lease_until_ns or not self.in_flight:
            return False
        self.in_flight = 0
        return True
