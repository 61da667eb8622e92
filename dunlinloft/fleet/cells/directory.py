"""One process of the directory: receives reports of cells, replicates them, and answers lookups.

Every process answers for all cells. Reports are replicated among the processes as records of a store, each
with a bound on its age (`fleet.shared_state.store`). The age of a report at its arrival is bounded by this
process's clock, whose reading is sent with a lookup response and returned with the report. All state is in
memory and is lost with the process.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum, auto

import msgspec

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.index import CellIndex, is_valid_summary
from dunlinloft.fleet.cells.messages import LookupRequest, LookupResponse, SummaryReport
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.cells.report_replication import ReportReplication
from dunlinloft.fleet.cells.report_store import ReportStore
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.shared_state.messages import SUMMARY, Entry

WARM_UP_MS = MAX_REPORT_AGE_MS + 5_000.0  # how long a new process may not know all cells
PRUNE_INTERVAL_MS = 1_000.0
MAX_FIRST_PULL_DELAY_MS = 100.0  # random, so processes that start together don't pull together
MAX_NAME_LENGTH = 64  # characters of a service's, region's or member's name


@dataclass(slots=True)
class MemberMessageReceived:
    """A member sent a lookup or a report from the address `source`."""

    message: LookupRequest | SummaryReport
    source: str


@dataclass(slots=True)
class PeersObserved:
    """The directory's other live processes with their incarnations, and this process's own incarnation."""

    incarnation: int
    alive_peers: dict[str, int]


Event = MemberMessageReceived | PeersObserved | shared.MessageReceived | shared.TimerFired
Action = api.SendDatagram | shared.SendMessage | shared.SetTimer


class TimerKind(Enum):
    """The purpose of a timer; never encoded."""

    PULL = auto()
    PRUNE = auto()


class Directory:
    """The state machine of one directory process.

    A host (`node.fleet.directory`) calls `start` once, then `handle` with each event, and executes the
    actions in order.

    Parameters
    ----------
    name, incarnation: of this process among the directory's.
    now: ms, monotonic.
    """

    def __init__(self, name: str, incarnation: int, rng: random.Random, now: float) -> None:
        self.name = name
        self.incarnation = incarnation
        self._rng = rng
        self._started_ms = now
        self.index = CellIndex()
        self.reports = ReportStore(name, incarnation, self.index)
        self.replication = ReportReplication(self.reports, rng)
        self.counts: Counter[str] = Counter()  # finds, reports, late, foreign; shown to operators
        self._timers: dict[int, TimerKind] = {}
        self._token = 0

    def start(self) -> list[Action]:
        """Return the actions that set the first timers."""
        return [
            self._set_timer(TimerKind.PULL, MAX_FIRST_PULL_DELAY_MS * self._rng.random()),
            self._set_timer(TimerKind.PRUNE, PRUNE_INTERVAL_MS),
        ]

    def is_ready(self, now: float) -> bool:
        """Whether the process has been up long enough to have received the reports of all cells."""
        return now - self._started_ms >= WARM_UP_MS

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event at `now` (ms, monotonic); return the resulting actions in order."""
        match event:
            case MemberMessageReceived():
                if isinstance(event.message, LookupRequest):
                    return self._handle_lookup(event.message, event.source, now)
                self._handle_report(event.message, now)
            case PeersObserved():
                self.reports.set_incarnation(event.incarnation)
                self.replication.set_members(event.alive_peers, now)
            case shared.MessageReceived():
                return [*self.replication.receive(event.message, event.sender, now)]
            case shared.TimerFired():
                return self._handle_timer(event.token, now)
        return []

    def _set_timer(self, kind: TimerKind, delay_ms: float) -> shared.SetTimer:
        self._token += 1
        self._timers[self._token] = kind
        return shared.SetTimer(self._token, delay_ms)

    def _handle_timer(self, token: int, now: float) -> list[Action]:
        match self._timers.pop(token, None):
            case TimerKind.PULL:
                messages, wait_ms = self.replication.pull(now)
                return [*messages, self._set_timer(TimerKind.PULL, wait_ms)]
            case TimerKind.PRUNE:
                self.index.prune(now)
                self.reports.discard_expired(now, 2.0 * MAX_REPORT_AGE_MS)
                jitter = 0.9 + 0.2 * self._rng.random()
                return [self._set_timer(TimerKind.PRUNE, PRUNE_INTERVAL_MS * jitter)]
            case None:
                return []

    def _handle_lookup(self, request: LookupRequest, source: str, now: float) -> list[Action]:
        partition = CellPartition(request.epoch, request.depth, request.bits)
        longest = max(map(len, (request.service, request.region, request.name)))
        if not partition.is_valid() or longest > MAX_NAME_LENGTH:
            self.counts["foreign"] += 1
            return []
        self.counts["finds"] += 1
        sums = self.index.sums_for(request, now)
        response = LookupResponse(
            request.request_number, self.incarnation, int(now),
            sums.partition.epoch, sums.partition.depth, sums.partition.bits, sums.addresses,
            sums.service_members, sums.own_cell_members, sums.preceding_members, sums.cell_count,
            sums.is_reliable and self.is_ready(now), int(sums.age_ms) + 1,
            sums.sibling_members, sums.sibling_epoch, sums.sibling_addresses,
        )  # fmt: skip
        return [api.SendDatagram(source, response)]

    def _handle_report(self, report: SummaryReport, now: float) -> None:
        age_ms = now - report.clock_ms + 1.0
        if report.incarnation != self.incarnation or not 0.0 <= age_ms <= MAX_REPORT_AGE_MS:
            self.counts["late"] += 1
            return
        longest = max(map(len, (report.service, report.region, report.name)))
        if longest > MAX_NAME_LENGTH or not is_valid_summary(report.summary):
            self.counts["foreign"] += 1
            return
        self.counts["reports"] += 1
        writer = f"{report.service}@{report.region}|{report.name}"
        content = msgspec.msgpack.encode(report.summary)
        entry = Entry(SUMMARY, writer, report.reporter_incarnation, report.version, int(age_ms), content)
        self.reports.merge(entry, 0.0, "", now)
