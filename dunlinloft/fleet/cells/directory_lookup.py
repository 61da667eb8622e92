"""Schedules a member's directory lookups: when to send one, to which process, and its time-out."""

from __future__ import annotations

import random
from dataclasses import dataclass

from dunlinloft.fleet.cells.messages import LookupResponse
from dunlinloft.fleet.cells.partition import CellPartition

LOOKUP_INTERVAL_MS = 10_000.0  # between lookups, with jitter
LOOKUP_TIMEOUT_MS = 1_000.0  # before the next process is tried, after an exponential backoff
MAX_BACKOFF_DOUBLINGS = 8
UNAVAILABLE_AFTER_TIMEOUTS = 2  # consecutive time-outs


@dataclass(frozen=True, slots=True)
class PendingLookup:
    """A lookup that has not been answered yet."""

    request_number: int
    sent_ms: float
    partition: CellPartition  # the requester's when it was sent


@dataclass(frozen=True, slots=True)
class DirectoryClock:
    """The incarnation and clock of the process that answered last; a report returns both."""

    incarnation: int  # 0: no response yet
    clock_ms: int


class DirectoryLookup:
    """Schedules the lookups of one member, one at a time. Owned by `CellMembership`, which sends them.

    Parameters
    ----------
    addresses: of the directory's processes; if empty, there are no lookups.
    rng: the member's own.
    """

    def __init__(self, addresses: list[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self.pending: PendingLookup | None = None
        self._request_number = rng.getrandbits(40) + 1
        self._address_index = rng.randrange(1 << 16)  # modulo the number of addresses
        self._next_ms = 0.0
        self.consecutive_timeouts = 0
        self.directory_clock = DirectoryClock(0, 0)

    def is_unavailable(self) -> bool:
        """Whether enough lookups in a row have timed out that the directory counts as unavailable."""
        return self.consecutive_timeouts >= UNAVAILABLE_AFTER_TIMEOUTS

    def address(self) -> str:
        """Return the address of the process that lookups and reports currently go to."""
        return self._addresses[self._address_index % len(self._addresses)]

    def expedite(self, now: float) -> None:
        """Make the next lookup due at once."""
        self._next_ms = min(self._next_ms, now)

    def is_due(self, now: float) -> bool:
        """Whether to send the next lookup now; checks the pending lookup for a time-out first."""
        if self.pending is not None and now - self.pending.sent_ms >= LOOKUP_TIMEOUT_MS:
            self.pending = None
            self.consecutive_timeouts += 1
            self._address_index += 1
            doublings = min(MAX_BACKOFF_DOUBLINGS, self.consecutive_timeouts - 1)
            backoff_ms = min(LOOKUP_INTERVAL_MS, LOOKUP_TIMEOUT_MS * 2.0**doublings)
            self._next_ms = now + backoff_ms * (0.5 + 0.5 * self._rng.random())
        return self.pending is None and now >= self._next_ms

    def begin(self, partition: CellPartition, now: float) -> PendingLookup | None:
        """Begin a lookup and schedule the next one; return None without a directory."""
        self._next_ms = now + LOOKUP_INTERVAL_MS * (0.9 + 0.2 * self._rng.random())
        if not self._addresses:
            return None
        self._request_number += 1
        self.pending = PendingLookup(self._request_number, now, partition)
        return self.pending

    def complete(self, response: LookupResponse) -> PendingLookup | None:
        """Return the lookup that a response answers; None if it is late or was not requested."""
        lookup = self.pending
        if lookup is None or response.request_number != lookup.request_number:
            return None
        self.pending = None
        self.consecutive_timeouts = 0
        self.directory_clock = DirectoryClock(response.incarnation, response.clock_ms)
        return lookup
