"""A member's part in a release: it obeys the steward's fence, and counts how new and old servers do."""

from __future__ import annotations

import bisect

from dunlinloft.fleet.releases.messages import EIGHTHS, NONE, Count, Order, Tally, no_count

MOST_COUNTS = 20  # of a tally, classes times zones, so that it fits a datagram
STEP = 0.03  # of a quantile, by which a time moves it at most
LEARNT = 30  # times of a class from which their quantiles are used
FRESH_MS = 5_000.0  # beyond which the steward is not heard any more: its last word goes on holding


class Server:
    """What a member knows of a server: its zone's mark, when it started (Unix ms), and what it weighs now."""

    __slots__ = ("cold", "since_ms", "weight", "zone")

    def __init__(self, zone: int, since_ms: float, weight: float, cold: bool) -> None:
        self.zone, self.since_ms, self.weight, self.cold = zone, since_ms, weight, cold


class Eighths:
    """Quantiles of times, followed by small steps (Robbins and Monro 1951): those of old and warm servers."""

    __slots__ = ("_seen", "ends_ms")

    def __init__(self, first_ms: float) -> None:
        self.ends_ms, self._seen = [first_ms] * (EIGHTHS - 1), 1

    def learn(self, ms: float) -> None:
        """One more time."""
        self._seen += 1
        step = max(STEP, 1.0 / self._seen)
        for n, end in enumerate(self.ends_ms):
            share = (n + 1) / EIGHTHS
            self.ends_ms[n] = max(0.01, end * (1.0 + step * (share if ms > end else share - 1.0)))
        self.ends_ms.sort()

    def place(self, ms: float) -> int:
        """In which of them a time is, 0 to 7."""
        return bisect.bisect_left(self.ends_ms, ms)

    def known(self) -> bool:
        """Whether they rest on enough."""
        return self._seen >= LEARNT


class Follower:
    """One member's part."""

    def __init__(self, tier: int) -> None:
        self._tier = tier
        self.order = NONE
        self.heard_ms = -1e18  # when the steward that it obeys last said something
        self.servers: dict[int, Server] = {}
        self._started: dict[int, float] = {}  # new servers, by when each was last seen to start
        self._counts: dict[tuple[int, int], Count] = {}
        self._eighths: dict[int, Eighths] = {}
        self.restarts = 0
        self.changed = False  # since the host was last told which servers are new

    def obey(self, order: Order, age_ms: float, now: float) -> None:
        """Take an order, straight from its steward or from another member that obeys it."""
        if order.key() < self.order.key():
            return
        self.heard_ms = max(self.heard_ms, now - age_ms)
        if order == self.order:
            return
        if order.id != self.order.id:
            self._counts, self._started, self.restarts = {}, {}, 0
        self.order, self.changed = order, True
        self._look_at_starts()

    def know(self, servers: dict[int, Server]) -> None:
        """What the list names now."""
        self.changed = self.changed or {n: s.since_ms for n, s in servers.items()} != {
            n: s.since_ms for n, s in self.servers.items()
        }
        self.servers = servers
        self._look_at_starts()

    def _look_at_starts(self) -> None:
        """Count new servers that start once more: a build that falls over never gets to be judged."""
        if not self.order.live:
            return
        for number, server in self.servers.items():
            if self.is_new(number):
                before = self._started.get(number)
                self.restarts += before is not None and server.since_ms > before
                self._started[number] = server.since_ms

    def is_new(self, number: int) -> bool:
        """Whether a server is of the new build."""
        order, server = self.order, self.servers.get(number)
        if not order.id or server is None:
            return False
        return number in order.named or bool(order.since_ms and server.since_ms >= order.since_ms)

    def cohort(self) -> frozenset[int]:
        """The new servers that the list names."""
        return frozenset(number for number in self.servers if self.is_new(number))

    def ended(self, number: int, cls: int, how: str, ms: float) -> None:
        """An attempt is over: `good`, `error`, `lost` or `full`.

        A cold server is slow, and loses or refuses calls, for being cold: only its other calls count.
        """
        server = self.servers.get(number)
        if server is None:
            return
        new, good = self.is_new(number), how == "good"
        eighths = self._eighths.get(cls)
        place = eighths.place(ms) if eighths is not None and eighths.known() else None
        if good and not new and not server.cold:
            if eighths is None:
                eighths = self._eighths[cls] = Eighths(ms)
            eighths.learn(ms)
        if not self.order.live or (server.cold and how in ("lost", "full")):
            return
        key = cls, server.zone
        if key not in self._counts and len(self._counts) >= MOST_COUNTS:
            return
        count = self._counts.setdefault(key, no_count(*key))
        if new:
            count.new, count.new_failed = count.new + 1, count.new_failed + (not good)
        else:
            count.old, count.old_failed = count.old + 1, count.old_failed + (not good)
        if good and not server.cold and place is not None:
            (count.new_times if new else count.old_times)[place] += 1

    def tally(self) -> Tally:
        """What to tell all."""
        new = sum(s.weight for n, s in self.servers.items() if self.is_new(n))
        old = sum(s.weight for n, s in self.servers.items() if not self.is_new(n))
        counts = [self._counts[key] for key in sorted(self._counts)]
        return Tally(self.order, self._tier, counts, round(new, 2), round(old, 2), self.restarts)

    def stale(self, now: float) -> bool:
        """Whether the steward has not been heard of for so long that its word is only kept, not followed."""
        return self.order.live and now - self.heard_ms > FRESH_MS
