"""The two sides of a quota: `QuotaBudget` deals it out in shares, a `QuotaHolder` keeps within its share.

A holder reports at its own pace: its estimate, what it has in flight, and the newest grant that it goes by.
Each report is answered by a grant. Reports and grants may be late, lost, or overtake one another.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median


@dataclass(frozen=True, slots=True)
class UsageReport:
    """What a holder reports.

    :ivar estimate: calls at once that it holds the backends able to bear.
    :ivar grant_number: of the newest grant that it goes by; 0: none.
    :ivar sent_ns: by the holder's clock.
    """

    holder_id: int
    estimate: int
    in_flight: int
    grant_number: int
    sent_ns: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """A holder's share.

    :ivar share: calls at once.
    :ivar sent_ns: of the report that it answers: its lease runs from there.
    """

    holder_id: int
    share: int
    grant_number: int
    sent_ns: int


@dataclass(slots=True)
class QuotaAccount:
    """What the budget knows of a holder; `shares` by grant number, from the newest that it goes by."""

    estimate: int = 0
    in_flight: int = 0
    expires_ns: int = 0
    shares: dict[int, int] = field(default_factory=dict)


class QuotaBudget:
    """The budget, dealt out in leased shares.

    :param acknowledged_handoff: what was granted counts until its holder has said that it goes by a later
        grant. Without it a share counts as given back as soon as a smaller one was sent, and a holder
        that has not been notified goes over the budget.
    """

    def __init__(self, lease_ns: int, acknowledged_handoff: bool) -> None:
        self.lease_ns, self.acknowledged_handoff = lease_ns, acknowledged_handoff
        self.accounts: dict[int, QuotaAccount] = {}
        self.last_grant_number = 0

    def estimate(self) -> int:
        """The median of the live holders' estimates, never a sum."""
        return int(median(a.estimate for a in self.accounts.values())) if self.accounts else 0

    def reserved(self, holder_id: int) -> int:
        """What a holder may have in flight at this moment, for all that is known."""
        account = self.accounts[holder_id]
        shares = list(account.shares.values()) or [0]
        return max(account.in_flight, max(shares) if self.acknowledged_handoff else shares[-1])

    def expire(self, now: int) -> None:
        """Forgets holders whose lease is over: they have stopped by themselves before this."""
        expired = [holder for holder, account in self.accounts.items() if account.expires_ns <= now]
        for holder_id in expired:
            del self.accounts[holder_id]

    def on_report(self, now: int, report: UsageReport) -> QuotaGrant | None:
        """The grant that answers a report; none for one that is older than what was reported already."""
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
        others = sum(self.reserved(holder) for holder in self.accounts if holder != report.holder_id)
        share = max(0, min(estimate // len(self.accounts), estimate - others))
        self.last_grant_number += 1
        account.shares[self.last_grant_number] = share
        return QuotaGrant(report.holder_id, share, self.last_grant_number, report.sent_ns)

    def on_holder_left(self, holder_id: int) -> None:
        """A holder has stopped, with nothing in flight."""
        self.accounts.pop(holder_id, None)


class QuotaHolder:
    """One holder of a share.

    :param margin_ns: so long before its lease ends it stops and gives up what is in flight: clocks differ by
        less.
    """

    def __init__(self, holder_id: int, lease_ns: int, margin_ns: int) -> None:
        self.holder_id, self.usable_lease_ns = holder_id, lease_ns - margin_ns
        self.share = self.grant_number = self.in_flight = 0
        self.lease_until_ns = 0
        self.sent_ns = -1

    def try_start(self, now: int) -> bool:
        """Starts a call, if one more may go.

        :returns: whether it did.
        """
        if now >= self.lease_until_ns or self.in_flight >= self.share:
            return False
        self.in_flight += 1
        return True

    def on_call_ended(self) -> None:
        """A call that was started has ended."""
        self.in_flight -= 1

    def build_report(self, now: int, estimate: int) -> UsageReport:
        """The report to send now."""
        self.sent_ns = now
        return UsageReport(self.holder_id, estimate, self.in_flight, self.grant_number, now)

    def on_grant(self, grant: QuotaGrant) -> None:
        """Takes in a grant, unless a newer one came first."""
        if grant.grant_number <= self.grant_number:
            return
        self.share, self.grant_number = grant.share, grant.grant_number
        self.lease_until_ns = grant.sent_ns + self.usable_lease_ns

    def fence(self, now: int) -> bool:
        """Whether its lease is over with calls in flight, which are to be given up now."""
        if now < self.lease_until_ns or not self.in_flight:
            return False
        self.in_flight = 0
        return True
