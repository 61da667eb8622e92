"""What this process has seen of servers, in the small figures that it shares.

Wald's sequential test, as the node's module runs it on its own: each failure weighs failing half its calls
against failing like the peers, each answer the other way, and the sum never falls below 0.
"""

from __future__ import annotations

import math
from collections.abc import Iterator

from dunlinloft.fleet.shared_state.messages import Cell, Findings

BAD, FLOOR = 0.5, 0.01  # the share of failures to look for; the least that peers are taken for
MOST_ODDS = 6.0  # of one cell: one process alone convinces nobody
GOOD_MS = 700.0  # time constant with which answers fade, of a server that nobody doubts: what it was
# before it fell ill says nothing
ODDS_MS = 4_000.0  # with which what speaks against a server fades, and what speaks for one that is in doubt
DOUBT_MS = 30_000.0  # one that failed is in doubt for so long
ANY = 0  # the mark of all classes together, by which delays are told
SLOW = 3.0  # times its peers' delay: what is looked for
TELL, TELL_SLOW = 1.0, 2.0  # odds from which a server is spoken of unasked: delays vary by chance
PEERS = 100.0  # attempts over which the share of failures, and usual delays, are averaged
FEW = 4.0  # answers over which a server's delay is averaged
SLOW_ENOUGH = 5.0  # times its peers' delay: what is more says no more
SLOW_MOST = 10.0  # times its peers' delay that one answer counts for at most
TELL_MS = 4_000.0  # so long after it stood out it is still told how it does
LATELY_MS = 8_000.0  # servers used within this time count as used
MOST_CELLS = 14  # told at once, the worst first
GONE_MS = 30_000.0  # what has not been used for so long is forgotten


class Seen:
    """One server, for one class."""

    __slots__ = ("at_ms", "errors", "failed_ms", "good", "lost", "proven", "told_ms")

    def __init__(self) -> None:
        self.errors = self.lost = 0.0
        self.good = self.proven = 0.0  # answers, and those that came while it was in doubt
        self.at_ms, self.failed_ms, self.told_ms = -math.inf, -math.inf, -math.inf

    def fade(self, now: float) -> None:
        """Let time pass."""
        if self.at_ms > -math.inf:
            self.good *= math.exp((self.at_ms - now) / GOOD_MS)
            kept = math.exp((self.at_ms - now) / ODDS_MS)
            self.errors, self.lost, self.proven = self.errors * kept, self.lost * kept, self.proven * kept
        self.at_ms = now

    def as_of(self, now: float) -> tuple[float, float, float]:
        """Odds by errors and by losses, and answers."""
        kept = math.exp((self.at_ms - now) / ODDS_MS)
        good = self.good * math.exp((self.at_ms - now) / GOOD_MS) + self.proven * kept
        return self.errors * kept, self.lost * kept, good


class Witness:
    """All that this process has seen lately."""

    def __init__(self) -> None:
        self.cells: dict[tuple[int, int], Seen] = {}
        self._ratios: dict[int, tuple[float, int]] = {}  # by server: its delay over its peers', of how many
        self._starts: dict[int, int] = {}
        self._usual: dict[int, float] = {}  # by class: mean delay
        self._bad = 0.0  # share of attempts that failed
        self._silent: frozenset[int] = frozenset()
        self.doubted: set[int] = set()  # servers that others speak against
        self.untold = 0  # cells that stood out and had no room

    def _step(self, bad: bool) -> float:
        peers = max(FLOOR, min(self._bad, BAD))
        return math.log(BAD / peers) if bad else math.log((1.0 - BAD) / (1.0 - peers))

    def ended(self, server: int, cls: int, how: str, ms: float, now: float) -> None:
        """Take how an attempt ended: `good`, `error` or `lost`."""
        if server not in self._starts:
            return
        seen = self.cells.setdefault((server, cls), Seen())
        seen.fade(now)
        bad = how != "good"
        self._bad += (bad - self._bad) / PEERS
        step = self._step(bad)
        if not bad:
            seen.errors, seen.lost = max(0.0, seen.errors + step), max(0.0, seen.lost + step)
            self._good(seen, server, now)
            return self._time(server, cls, ms, now)
        seen.good = seen.proven = 0.0
        seen.failed_ms = now
        if how == "error":
            seen.errors = min(MOST_ODDS, seen.errors + step)
        else:
            seen.lost = min(MOST_ODDS, seen.lost + step)

    def _good(self, seen: Seen, server: int, now: float) -> None:
        if server in self.doubted or now - seen.failed_ms < DOUBT_MS:
            seen.proven += 1.0
        else:
            seen.good += 1.0

    def _time(self, server: int, cls: int, ms: float, now: float) -> None:
        """The same test for delays, as if exponential: is it `SLOW` times slower than its peers?"""
        usual = self._usual.get(cls)
        if usual:
            ratio = min(SLOW_MOST, ms / usual)
            mean, samples = self._ratios.get(server, (1.0, 0))
            samples = min(samples + 1, 20)
            self._ratios[server] = mean + (ratio - mean) / min(FEW, samples), samples
            seen = self.cells.setdefault((server, ANY), Seen())
            seen.fade(now)
            # Times have long tails: no single answer says much.
            step = min(ratio, SLOW_ENOUGH) * (1.0 - 1.0 / SLOW) - math.log(SLOW)
            seen.errors = min(MOST_ODDS, max(0.0, seen.errors + step))
            if step > 0.0:
                seen.good, seen.failed_ms = 0.0, now
            else:
                self._good(seen, server, now)
        self._usual[cls] = ms if usual is None else usual + (ms - usual) / PEERS

    def known(self, starts: dict[int, int], silent: frozenset[int], now: float) -> None:
        """The list, and the servers that hold calls and have gone silent: nothing of a former start stays."""
        for key in list(self.cells):
            server = key[0]
            if starts.get(server) != self._starts.get(server) or now - self.cells[key].at_ms > GONE_MS:
                del self.cells[key]
        for server in [s for s in self._ratios if starts.get(s) != self._starts.get(s)]:
            del self._ratios[server]
        self._starts = dict(starts)
        for server in silent - self._silent:
            for key in [key for key in self.cells if key[0] == server and key[1] != ANY]:
                self.ended(server, key[1], "lost", 0.0, now)
        self._silent = silent

    def _used(self, now: float) -> tuple[int, int]:
        """How many servers were used lately, and how many of them failed more than now and then."""
        used, failing = set(), set()
        for (server, cls), seen in self.cells.items():
            if now - seen.at_ms < LATELY_MS or server in self._silent:
                used.add(server)
                if cls != ANY and seen.errors + seen.lost > TELL:
                    failing.add(server)
        return len(used), len(failing)

    def findings(self, zone: str, tier: int, health: int, now: float) -> Findings | None:
        """What to tell: servers that stand out here, and how those do that others doubt; None: nothing."""
        found = list(self._cells(now))
        if not found:
            return None
        found.sort(key=lambda cell: (-cell.errors - cell.lost, cell.server, cell.cls))
        self.untold += max(0, len(found) - MOST_CELLS)
        used, failing = self._used(now)
        return Findings(zone, tier, used, failing, health, found[:MOST_CELLS])

    def _cells(self, now: float) -> Iterator[Cell]:
        for (server, cls), seen in self.cells.items():
            errors, lost, good = seen.as_of(now)
            if errors + lost > (TELL if cls else TELL_SLOW):
                seen.told_ms = now
            elif server not in self.doubted and now - seen.told_ms > TELL_MS:
                continue
            if errors + lost >= 0.5 or good >= 0.5:
                ago = int(min(60_000.0, now - seen.failed_ms))
                tenths = round(10.0 * errors), round(10.0 * lost), round(10.0 * good)
                slow = round(10.0 * self._ratios[server][0]) if cls == ANY else 0
                yield Cell(server, self._starts[server], cls, *tenths, ago, slow)
