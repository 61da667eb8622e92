"""How many processes share a budget, and which part is this one's, from a view that may be split.

Who counts too few takes too much: parts of quotas and of cold servers' budgets would add up to more than
there is. So a part shrinks at once and grows late. Whoever is new counts at once. Whoever is missing
goes on counting until the view has been without it for `HOLD_MS`, and then only where those in view are
more than half of all that counted: of the sides of a split one at most can do that, the others keep
the small parts that they had. What all sides take together stays under 1.5 times the whole (the one side's
whole, and less than half of the parts for the others); members that die in one side's majority are
made up for after the hold.
"""

from __future__ import annotations

from collections.abc import Callable

MISSING_MEMBER_GRACE_MS = 10_000.0


class MemberCount:
    """The place of one process among those of its kind."""

    def __init__(self, own: str, number: int, nodes: int, grace_ms: float = MISSING_MEMBER_GRACE_MS) -> None:
        self._own_name, self._configured, self._grace_ms = own, (number, nodes), grace_ms
        self._missing_since: dict[str, float | None] = {
            own: None
        }  # all that count, and since when each is missing
        # As many as the file says count, seen or not, until they have been seen or missed for long enough.
        self._use_configured_floor = True
        self._short_since_ms: float | None = None

    def reconfigure(self, number: int, nodes: int) -> None:
        """The file says something else now."""
        if (number, nodes) != self._configured:
            self._configured, self._use_configured_floor, self._short_since_ms = (number, nodes), True, None

    def total(self) -> int:
        """How many count."""
        return max(len(self._missing_since), self._configured[1] if self._use_configured_floor else 0)

    def counted_names(self) -> frozenset[str]:
        """The names of those that count, as far as they have been seen."""
        return frozenset(self._missing_since)

    def retain(self, mine: Callable[[str], bool]) -> None:
        """Count none of the others any more, there or missing: they are counted elsewhere."""
        self._missing_since = {
            name: at for name, at in self._missing_since.items() if name == self._own_name or mine(name)
        }

    def observe(self, here: set[str], now: float) -> None:
        """Take in who is there now, this process too."""
        for name in here:
            self._missing_since[name] = None
        for name, since in self._missing_since.items():
            if name not in here and since is None:
                self._missing_since[name] = now
        if len(self._missing_since) >= self._configured[1]:
            self._use_configured_floor, self._short_since_ms = False, None
        elif self._use_configured_floor and self._short_since_ms is None:
            self._short_since_ms = now
        self._drop_missing(now)

    def _drop_missing(self, now: float) -> None:
        """Count the missing no more, once that is safe."""
        there = sum(since is None for since in self._missing_since.values())
        since = [at for at in (*self._missing_since.values(), self._short_since_ms) if at is not None]
        if not since or now - max(since) < self._grace_ms or 2 * there <= self.total():
            return
        self._missing_since = {name: None for name, at in self._missing_since.items() if at is None}
        self._use_configured_floor, self._short_since_ms = False, None

    def position(self) -> tuple[int, int]:
        """This process's number, from 0, and how many there are.

        The file's, as long as it names as many as count: then all agree without a word.
        """
        base = self.total()
        return (
            self._configured
            if base == self._configured[1]
            else (sorted(self._missing_since).index(self._own_name), base)
        )
