"""The two sides of a quota: `QuotaBudget` grants shares of it, a `QuotaHolder` stays within its share.

A holder reports its estimate, its calls in flight and the number of the newest grant that it applies. Each
report is answered with a grant. Reports and grants may be delayed, lost or reordered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median


@dataclass(frozen=True, slots=True)
class UsageReport:
    """A report of a holder.

    :ivar estimate: concurrent calls that the backends can take, as the holder estimates.
    :ivar in_flight: concurrent calls of the holder.
    :ivar grant_number: number of the newest grant that it applies; 0: none.
    :ivar sent_ns: sending time by the holder's clock.
    """

    holder_id: int
    estimate: int
    in_flight: int
    grant_number: int
    sent_ns: int


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """A holder's share.

    :ivar share: maximum of concurrent calls.
    :ivar sent_ns: sending time of the report that it answers, from which the lease runs.
    """

    holder_id: int
    share: int
    grant_number: int
    sent_ns: int


@dataclass(slots=True)
class QuotaAccount:
    """The budget's record of a holder; `shares` by grant number, from the newest applied grant on."""

    estimate: int = 0
    in_flight: int = 0
    expires_ns: int = 0
    shares: dict[int, int] = field(default_factory=dict)


class QuotaBudget:
    """The budget of concurrent calls, granted in leased shares.

    :param lease_ns: duration of a lease, from the sending of the report that a grant answers.
    :param acknowledged_handoff: whether a share counts until its holder has acknowledged a later grant. If
        not, it counts as returned once a smaller one was sent, and a holder that has not received that one
        exceeds the budget.
    """

    def __init__(self, lease_ns: int, acknowledged_handoff: bool) -> None:
        self.lease_ns, self.acknowledged_handoff = lease_ns, acknowledged_handoff
        self.accounts: dict[int, QuotaAccount] = {}
        self.last_grant_number = 0

    def estimate(self) -> int:
        """Return the median of the live holders' estimates."""
        return int(median(a.estimate for a in self.accounts.values())) if self.accounts else 0

    def reserved(self, holder_id: int) -> int:
        """Return the maximum number of calls that a holder may have in flight now."""
        account = self.accounts[holder_id]
        shares = list(account.shares.values()) or [0]
        return max(account.in_flight, max(shares) if self.acknowledged_handoff else shares[-1])

    def expire(self, now: int) -> None:
        """Forget holders whose lease has expired; by then they have stopped on their own."""
        expired = [holder for holder, account in self.accounts.items() if account.expires_ns <= now]
        for holder_id in expired:
            del self.accounts[holder_id]

    def on_report(self, now: int, report: UsageReport) -> QuotaGrant | None:
        """Return the grant that answers a report; None if the report is older than an earlier one."""
        self.expire(now)
        account = self.accounts.setdefault(report.holder_id, QuotaAccount())
        if report.sent_ns + self.lease_ns <= max(now, account.expires_ns - 1):
            if not account.shares:
                del self.accounts[report.holder_id]
            return None
        account.estimate, account.in_flight = report.estimate, report.in_flight
        account.expires_ns = report.sent_ns + self.lease_ns
        # The reported grant may be missing here, if the holder's account has expired since that grant.
        account.shares = {n: share for n, share in account.shares.items() if n >= report.grant_number}
        estimate = self.estimate()
        others = sum(self.reserved(holder) for holder in self.accounts if holder != report.holder_id)
        share = max(0, min(estimate // len(self.accounts), estimate - others))
        self.last_grant_number += 1
        account.shares[self.last_grant_number] = share
        return QuotaGrant(report.holder_id, share, self.last_grant_number, report.sent_ns)

    def on_holder_left(self, holder_id: int) -> None:
        """Forget a holder that has stopped, with no call in flight."""
        self.accounts.pop(holder_id, None)


class QuotaHolder:
    """A holder of a share.

    :param margin_ns: time before the end of its lease at which it stops and gives up its calls in flight;
        more than the clocks may differ by.
    """

    def __init__(self, holder_id: int, lease_ns: int, margin_ns: int) -> None:
        self.holder_id, self.usable_lease_ns = holder_id, lease_ns - margin_ns
        self.share = self.grant_number = self.in_flight = 0
        self.lease_until_ns = 0
        self.sent_ns = -1

    def try_start(self, now: int) -> bool:
        """Start a call if the lease and the share allow it.

        :returns: whether it was started.
        """
        if now >= self.lease_until_ns or self.in_flight >= self.share:
            return False
        self.in_flight += 1
        return True

    def on_call_ended(self) -> None:
        """Record the end of a call."""
        self.in_flight -= 1

    def build_report(self, now: int, estimate: int) -> UsageReport:
        """Return the report to send now."""
        self.sent_ns = now
        return UsageReport(self.holder_id, estimate, self.in_flight, self.grant_number, now)

    def on_grant(self, grant: QuotaGrant) -> None:
        """Apply a grant, unless a newer one was received before."""
        if grant.grant_number <= self.grant_number:
            return
        self.share, self.grant_number = grant.share, grant.grant_number
        self.lease_until_ns = grant.sent_ns + self.usable_lease_ns

    def fence(self, now: int) -> bool:
        """Give up the calls in flight if the lease is over.

        :returns: whether there were any, which the caller must cancel now.
        """
        if now < self.lease_until_ns or not self.in_flight:
            return False
        self.in_flight = 0
        return True
