"""The divergence watch, a singleton role: which members disagree about the membership, and for how long.

Its leader queries all members for the digests of their views, a share of them at each step. So a member's
cost does not depend on the fleet's size, and the leader's is one message a member and round.
"""

from __future__ import annotations

from dataclasses import dataclass

DIVERGENCE_WATCH_ROLE = "divergence-watch"
ROUND_MS = 3_000.0  # every member is queried once in a round
MAX_DIGEST_AGE_MS = 3.0 * ROUND_MS  # two missed rounds: an older digest says nothing about the present


@dataclass(slots=True)
class ViewGroup:
    """Members whose views are the same."""

    digest: int
    members: list[str]
    since_ms: float  # when this view was first reported, by the leader's clock


@dataclass(slots=True, frozen=True)
class _Report:
    """The digest that a member reported last."""

    digest: int
    received_ms: float


class DivergenceWatch:
    """What the role's leader has gathered; empty at all other members."""

    def __init__(self) -> None:
        self.token = 0  # 0: this process is not the leader
        self._reports: dict[str, _Report] = {}  # by member
        self._first_reported_ms: dict[int, float] = {}  # by digest
        self._to_query: list[str] = []  # members left in this round

    def on_start(self, token: int, state: bytes) -> None:
        """This process leads: gathers anew, which takes one round. No state is carried over."""
        self._reports = {}
        self._first_reported_ms = {}
        self._to_query = []
        self.token = token

    def on_stop(self) -> None:
        """This process no longer leads."""
        self.token = 0

    def next_queries(self, members: list[str], step_ms: float) -> list[str]:
        """Members to query now, if this is called every `step_ms`."""
        if not self._to_query:
            self._to_query = list(members)
        count = max(1, round(len(members) * step_ms / ROUND_MS))
        queried = self._to_query[:count]
        self._to_query = self._to_query[count:]
        return queried

    def record_digest(self, member: str, digest: int, now: float) -> None:
        """Record the digest of a member's view, as its acknowledgements carry it."""
        if self.token:
            self._reports[member] = _Report(digest, now)
            self._first_reported_ms.setdefault(digest, now)

    def groups(self, now: float) -> list[ViewGroup]:
        """Members by their view, the largest group first, then the oldest view."""
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
