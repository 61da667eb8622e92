"""The divergence watch, a singleton role that finds members with differing views of the membership.

Its leader queries all members for the digests of their views, a fraction of them at each step. Thus the cost
of a member does not depend on the fleet's size, and that of the leader is one message per member and round.
"""

from __future__ import annotations

from dataclasses import dataclass

DIVERGENCE_WATCH_ROLE = "divergence-watch"
ROUND_MS = 3_000.0  # every member is queried once in a round
MAX_DIGEST_AGE_MS = 3.0 * ROUND_MS  # allows for two missed rounds; older digests are outdated


@dataclass(slots=True)
class ViewGroup:
    """Members with equal views."""

    digest: int
    members: list[str]
    since_ms: float  # when this view was first reported, by the leader's clock


@dataclass(slots=True, frozen=True)
class _Report:
    """The digest most recently reported by a member."""

    digest: int
    received_ms: float


class DivergenceWatch:
    """The reports collected by the role's leader; empty on all other members."""

    def __init__(self) -> None:
        self.token = 0  # 0 if this process is not the leader
        self._reports: dict[str, _Report] = {}  # by member
        self._first_reported_ms: dict[int, float] = {}  # by digest
        self._to_query: list[str] = []  # members still to be queried in this round

    def on_start(self, token: int, state: bytes) -> None:
        """Start to collect reports as the leader, which takes one round; no state is carried over."""
        self._reports = {}
        self._first_reported_ms = {}
        self._to_query = []
        self.token = token

    def on_stop(self) -> None:
        """Stop, as this process no longer leads."""
        self.token = 0

    def next_queries(self, members: list[str], step_ms: float) -> list[str]:
        """Return the members to query now, when called every `step_ms`."""
        if not self._to_query:
            self._to_query = list(members)
        count = max(1, round(len(members) * step_ms / ROUND_MS))
        queried = self._to_query[:count]
        self._to_query = self._to_query[count:]
        return queried

    def record_digest(self, member: str, digest: int, now: float) -> None:
        """Record the digest of a member's view, which its acks contain."""
        if self.token:
            self._reports[member] = _Report(digest, now)
            self._first_reported_ms.setdefault(digest, now)

    def groups(self, now: float) -> list[ViewGroup]:
        """Return members grouped by view, sorted by descending size, then by the age of the view."""
        found: dict[int, ViewGroup] = {}
        fresh = {
            member: report
            for member, report in self._reports.items()
            if now - report.received_ms <= MAX_DIGEST_AGE_MS
        }
        for member, report in sorted(fresh.items(), key=lambda item: item[0]):
            group = ViewGroup(report.digest, [], self._first_reported_ms[report.digest])
            found.setdefault(report.digest, group).members.append(member)
        self._first_reported_ms = {
            digest: first_ms for digest, first_ms in self._first_reported_ms.items() if digest in found
        }
        self._reports = fresh
        return sorted(found.values(), key=lambda group: (-len(group.members), group.since_ms))
