"""Central functions: the state table, leases, and the release controller with its members' tallies."""

from __future__ import annotations

from functools import partial
from typing import Any

from dunlinloft.fleet.leases.messages import Message, TablePage, TableRow
from dunlinloft.fleet.leases.table_read import TableReadSession
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE, page_after
from dunlinloft.fleet.messages import ApplicationMessage, Header
from dunlinloft.fleet.releases.controller import EVALUATION_INTERVAL_MS, ReleaseController
from dunlinloft.fleet.releases.follower import MAX_COUNTS
from dunlinloft.fleet.releases.messages import CallCounts, Order, Plan, Tally
from dunlinloft.fleet.releases.traffic import MemberTally
from dunlinloft.fleet.shared_state.messages import encode
from dunlinloft.fleet.wire import Wire
from lab.capacity import sizes
from lab.capacity.model import TIMED, Experiment, Figure
from lab.capacity.tools import best_ms, held_bytes
from lab.virtual.duties import Process, World

VALUE_BYTES = 60  # size of a row's value, as for a limit or a release
VOTERS, MEMBERS = 5, 20
WARM_MS, MEASURED_MS = 10_000.0, 30_000.0
CLASSES = 3


def _rows(count: int) -> dict[str, TableRow]:
    keys = [f"limit/tenant-{n:05}" for n in range(count)]
    return {key: TableRow(key, 1_700_000_000_001, n, b"v" * VALUE_BYTES) for n, key in enumerate(keys)}


def _pages(rows: dict[str, TableRow]) -> list[TablePage]:
    """Return all pages with which a voter answers a read."""
    found, after, more = list[TablePage](), "", True
    while more:
        part, more = page_after(rows, after)
        found.append(TablePage(STATE_TABLE_ROLE, 2, 1, after, 1, 1, False, False, part, more, 7))
        after = part[-1].key
    return found


def _read(pages: list[TablePage]) -> None:
    reading = TableReadSession(1)
    for page in pages:
        reading.handle_page(page, "n1")
    assert reading.result().rows


def _ledger(rows: int, seed: int) -> dict[str, float]:
    """Measure a voter's rows in memory, and a new holder reading all rows of one voter."""
    traced, _ = held_bytes(partial(_rows, rows))
    rows_by_key = _rows(rows)
    pages = _pages(rows_by_key)
    wire, head = Wire("capacity"), Header(sizes.name(1), sizes.LIFE, 0, 1 << 62, MEMBERS)
    return {
        "traced": traced,
        "pages": float(len(pages)),
        "bytes": float(sum(len(wire.write(ApplicationMessage(head, page, []))) for page in pages)),
        "told": best_ms(lambda: _pages(rows_by_key)),
        "read": best_ms(lambda: _read(pages)),
    }


class ByteCountingWorld(World):
    """Counts the bytes sent."""

    def __init__(self, seed: int, duties: int) -> None:
        self.sent_bytes = 0
        self._wire = Wire("capacity")
        super().__init__(seed, MEMBERS, VOTERS, duties)

    def process_name(self, n: int) -> str:
        return sizes.name(n)

    def _send(self, process: Process, name: str, message: Message) -> None:
        head = Header(process.name, sizes.LIFE, 0, 1 << 62, MEMBERS)
        self.sent_bytes += len(self._wire.write(ApplicationMessage(head, message, [])))
        super()._send(process, name, message)


def _leases(duties: int, seed: int) -> dict[str, float]:
    """Measure the total messages and bytes per second for holding and renewing this many leases."""
    world = ByteCountingWorld(seed, duties)
    world.run(WARM_MS)
    world.messages = world.sent_bytes = 0
    world.run(MEASURED_MS)
    held = sum(len(world.holders(duty)) for duty in world.duties)
    passed = MEASURED_MS / 1000.0
    return {"messages": world.messages / passed, "bytes": world.sent_bytes / passed, "held": float(held)}


def full_tally(order: Order, calls: int) -> Tally:
    """Return a tally with the maximum number of classes and zones, after `calls` calls of each."""
    cells = [divmod(n, MAX_COUNTS // CLASSES + 1) for n in range(MAX_COUNTS)]
    eighths = [calls // 8] * 8
    counts = [
        CallCounts(cls + 1, zone + 1, calls, calls // 50, eighths, calls, 1, eighths) for cls, zone in cells
    ]
    return Tally(order, 0, counts, 1.5, 22.25, 0)


def _steward(members: int, seed: int) -> dict[str, float]:
    """Measure the release controller's evaluation of all members' tallies during a stage."""
    steward = ReleaseController(lambda plan: None, lambda name: 0, lambda: 0)
    steward.start(7, Plan(1, "baking", (0.01, 1.0), 30.0, 0, 0.01, 1e12), 0.0)
    now, calls = 0.0, 100

    def tallies() -> list[MemberTally]:
        return [
            MemberTally(sizes.name(n), 1, 10.0, full_tally(steward.order, calls)) for n in range(members)
        ]  # fmt: skip

    for _ in range(3):  # the order is applied and its effect seen once
        now += EVALUATION_INTERVAL_MS
        steward.evaluate(tallies(), members, now)
    durations_ms = []
    for _ in range(8):
        now, calls = now + EVALUATION_INTERVAL_MS, calls + 40
        current_tallies = tallies()
        durations_ms.append(best_ms(partial(steward.evaluate, current_tallies, members, now), 1))
    assert not steward.waiting_for, steward.waiting_for
    size = float(len(encode(full_tally(steward.order, 400))))
    return {"look": min(durations_ms), "judged": max(durations_ms), "tally": size}


def _figures(*all_figures: tuple[Any, ...]) -> tuple[Figure, ...]:
    return tuple(Figure(*one) for one in all_figures)


EXPERIMENTS = (
    Experiment(
        "ledger", "a voter's rows, and all of them read back", "rows", 1000.0, (100, 250, 500, 1000),
        (10, 20, 40), (1, 2, 3),
        _figures(
            ("traced", "B"), ("pages", "messages"), ("bytes", "B"), ("told", "ms", TIMED),
            ("read", "ms", TIMED),
        ),
        _ledger,
    ),
    Experiment(
        "leases", f"duties of {MEMBERS} members with {VOTERS} voters, a second in all (virtual time)",
        "duties", sizes.SERVICES, (2, 5, 10, 20), (1, 2, 3), (1, 2, 3),
        _figures(("messages", "1/s"), ("bytes", "B/s"), ("held", "duties")), _leases, 40,
    ),
    Experiment(
        "steward", "a steward that looks at a tally of each member", "members", sizes.SERVERS,
        (50, 100, 200, 400), (5, 10, 20), (1, 2, 3),
        _figures(("look", "ms", TIMED), ("judged", "ms", TIMED), ("tally", "B")), _steward, 2000,
    ),
)  # fmt: skip
