"""How many processes share a budget, and which share is this one's, by a view that may be partitioned.

A process that counts too few takes too much: the shares of quotas and of the budgets of servers that warm up
would add up to more than there is. So a share shrinks at once and grows late. A new member counts at once.
A missing one goes on counting until the view has been without it for `MISSING_MEMBER_GRACE_MS`, and then
only where those in view are more than half of all that counted: at most one side of a partition can do
that, the others stay at the small shares that they had. All sides together take less than 1.5 times the
budget (all of it on the one side, and less than half of the shares on the others); the shares of members
that die on the majority's side are taken over after the grace time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

# Longer than a crash takes to be known: p99 2.85 s with 20% loss (docs/membership.md).
MISSING_MEMBER_GRACE_MS = 10_000.0


class Position(NamedTuple):
    """The number of a process among those that share a budget, from 0, and how many these are."""

    number: int
    nodes: int


class MemberCount:
    """Counts the processes that share this one's budgets.

    Owned by the host (`node.fleet.peers`), which reports who is alive (`observe`) and reads `position`.

    Parameters
    ----------
    own: name of this process.
    number, nodes: its position by its configuration.
    grace_ms: how long a missing process counts on.
    """

    def __init__(self, own: str, number: int, nodes: int, grace_ms: float = MISSING_MEMBER_GRACE_MS) -> None:
        self._own_name = own
        self._configured = Position(number, nodes)
        self._grace_ms = grace_ms
        # All that count, and since when each is missing; None for those that are alive.
        self._missing_since: dict[str, float | None] = {own: None}
        # As many as configured count, seen or not, until all were seen or some missing for the grace time.
        self._use_configured_floor = True
        self._short_since_ms: float | None = None  # since when fewer than configured are known

    def reconfigure(self, number: int, nodes: int) -> None:
        """Take a changed configuration; its number of nodes is the floor again."""
        position = Position(number, nodes)
        if position != self._configured:
            self._configured = position
            self._use_configured_floor = True
            self._short_since_ms = None

    def total(self) -> int:
        """How many processes count."""
        return max(len(self._missing_since), self._configured.nodes if self._use_configured_floor else 0)

    def counted_names(self) -> frozenset[str]:
        """The names of those that count, as far as they have been seen."""
        return frozenset(self._missing_since)

    def retain(self, shares_budget: Callable[[str], bool]) -> None:
        """Drop all that are not ours any more, alive or missing: they are counted elsewhere."""
        self._missing_since = {
            name: since
            for name, since in self._missing_since.items()
            if name == self._own_name or shares_budget(name)
        }

    def observe(self, alive: set[str], now: float) -> None:
        """Take in who is alive now, this process included."""
        for name in alive:
            self._missing_since[name] = None
        for name, since in self._missing_since.items():
            if name not in alive and since is None:
                self._missing_since[name] = now
        if len(self._missing_since) >= self._configured.nodes:
            self._use_configured_floor = False
            self._short_since_ms = None
        elif self._use_configured_floor and self._short_since_ms is None:
            self._short_since_ms = now
        self._drop_missing(now)

    def _drop_missing(self, now: float) -> None:
        """Stop counting the missing, once the grace time is over and a majority is alive."""
        alive = sum(since is None for since in self._missing_since.values())
        missing_since = [
            since for since in (*self._missing_since.values(), self._short_since_ms) if since is not None
        ]
        if not missing_since or now - max(missing_since) < self._grace_ms or 2 * alive <= self.total():
            return
        self._missing_since = {name: None for name, since in self._missing_since.items() if since is None}
        self._use_configured_floor = False
        self._short_since_ms = None

    def position(self) -> Position:
        """This process's position among those that count.

        The configured one, as long as it names as many: then all processes agree without any message.
        """
        total = self.total()
        if total == self._configured.nodes:
            return self._configured
        return Position(sorted(self._missing_since).index(self._own_name), total)
