"""Counts the processes that share a budget, and determines this process's share, despite partitions.

A process that counts too few members takes too large a share: the shares of quotas and of the budgets of
servers that warm up would add up to more than the budget. Therefore a share shrinks immediately and grows
with a delay. A new member counts immediately. A missing member is dropped from the count only after
`MISSING_MEMBER_GRACE_MS`, and only if the members in view are more than half of all that were counted. At
most one side of a partition satisfies this; the other sides keep their small shares. All sides together use
less than 1.5 times the budget: the majority side uses all of it, and the others less than half of the shares.
The shares of members that die on the majority side are redistributed after the grace period.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

# Longer than the detection of a crash: p99 2.85 s with 20% datagram loss (docs/membership.md).
MISSING_MEMBER_GRACE_MS = 10_000.0


class Position(NamedTuple):
    """The index of a process among those that share a budget, from 0, and the number of those processes."""

    number: int
    nodes: int


class MemberCount:
    """Counts the processes that share budgets with this one.

    Owned by the host (`node.fleet.peers`), which reports the members that are alive (`observe`) and reads
    `position`.

    Parameters
    ----------
    own: name of this process.
    number, nodes: its configured position.
    grace_ms: how long a missing process is still counted.
    """

    def __init__(self, own: str, number: int, nodes: int, grace_ms: float = MISSING_MEMBER_GRACE_MS) -> None:
        self._own_name = own
        self._configured = Position(number, nodes)
        self._grace_ms = grace_ms
        # All counted processes with the time since which each is missing; None for those that are alive.
        self._missing_since: dict[str, float | None] = {own: None}
        # The configured number is the minimum count until that many processes were seen, or until the grace
        # period has passed without them.
        self._use_configured_floor = True
        self._short_since_ms: float | None = None  # since when fewer than the configured number are known

    def reconfigure(self, number: int, nodes: int) -> None:
        """Apply a changed configuration; its number of nodes becomes the minimum count again."""
        position = Position(number, nodes)
        if position != self._configured:
            self._configured = position
            self._use_configured_floor = True
            self._short_since_ms = None

    def total(self) -> int:
        """Return the number of counted processes."""
        return max(len(self._missing_since), self._configured.nodes if self._use_configured_floor else 0)

    def counted_names(self) -> frozenset[str]:
        """Return the names of the counted processes that have been seen."""
        return frozenset(self._missing_since)

    def retain(self, shares_budget: Callable[[str], bool]) -> None:
        """Drop processes, alive or missing, that no longer share this budget; they are counted elsewhere."""
        self._missing_since = {
            name: since
            for name, since in self._missing_since.items()
            if name == self._own_name or shares_budget(name)
        }

    def observe(self, alive: set[str], now: float) -> None:
        """Update the count from the names of the processes that are alive now, including this one."""
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
        """Stop counting missing processes once the grace period is over and a majority is alive."""
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
        """Return this process's position among the counted processes.

        While the count equals the configured number, this is the configured position, on which all processes
        agree without exchanging messages.
        """
        total = self.total()
        if total == self._configured.nodes:
            return self._configured
        return Position(sorted(self._missing_since).index(self._own_name), total)
