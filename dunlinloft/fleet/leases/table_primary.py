"""The state table's primary. The table holds small records of the fleet in the memory of the voters.

The protocol follows the view change of Viewstamped Replication Revisited (Liskov and Cowling 2012, section
4.2) with fencing tokens as view numbers. The leader of the table's role first reads from a majority of the
replicas, each of which then rejects lower tokens. The rows of the replicas with the greatest *base* are
valid. The leader has a majority replace their rows by these, with its own token as the new base, and only
then accepts writes. Therefore an acknowledged row is in every later base, and an unacknowledged row that a
read did not find never reappears.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from msgspec.structs import replace

from dunlinloft.fleet.leases.messages import (
    Action,
    SendMessage,
    TableOpened,
    TablePage,
    TableRow,
    TableWrite,
    TableWriteAck,
    WriteCompleted,
    majority,
)
from dunlinloft.fleet.leases.table_read import TableReadSession
from dunlinloft.fleet.leases.table_rows import (
    MAX_KEY_BYTES,
    MAX_ROWS,
    MAX_VALUE_BYTES,
    STATE_TABLE_ROLE,
    paginate,
)

RESPONSE_TIMEOUT_MS = 80.0  # for the responses of replicas; requests are resent at doubling intervals
MAX_RESEND_INTERVAL_MS = 2_000.0
MAX_RESTORE_RESENDS = 8  # of the base, before the primary starts reading again


class TableStep(StrEnum):
    """The step of a primary; its value is shown to operators (`step`)."""

    IDLE = "idle"  # this process is not the primary
    READING = "reading"  # reads from a majority
    RESTORING = "restoring"  # has a majority replace its rows by the new base
    OPEN = "open"  # accepts writes


class WriteRejected(Exception):
    """A write that was rejected; the text is the reason, for operators."""


@dataclass(slots=True)
class _PendingWrite:
    """A write that some replicas have not acknowledged yet."""

    message: TableWrite
    replicas: list[str]
    request_id: int = 0  # of the corresponding write request; 0 if none, or already completed
    acknowledged_by: set[str] = field(default_factory=set)

    def missing(self) -> list[str]:
        """Return the replicas that have not acknowledged it."""
        return [replica for replica in self.replicas if replica not in self.acknowledged_by]


class TablePrimary:
    """The primary, active on the leader of `STATE_TABLE_ROLE` and idle on all other processes.

    `manager.LeaseManager` owns it, collects its `actions` after each call, and passes messages and timers to
    it only while the lease is valid.
    """

    def __init__(self, voters: list[str], rng: random.Random) -> None:
        self._voters = voters
        self.voters_epoch = 0
        self._rng = rng
        self.step = TableStep.IDLE
        self.token = 0
        self.rows_lost = False
        self.rows: dict[str, TableRow] = {}
        self._read = TableReadSession(0)
        self._last_write_id = 0
        self._last_sequence = 0
        self._timer_generation = 0  # timers of earlier generations are ignored
        self._resends = 0
        self._resend_interval_ms = RESPONSE_TIMEOUT_MS
        self._writes: dict[int, _PendingWrite] = {}
        self._incarnations: dict[str, int] = {}  # by replica: its latest known incarnation
        self._has_base: set[str] = set()  # replicas that stored the base in the incarnation that was read
        self._added: set[str] = set()  # voters added after the base was created that do not have it yet
        self.actions: list[Action] = []
        self.set_timer: Callable[[float, int], None] = _no_timer

    def majority(self) -> int:
        """Return the number of replicas that must store a row."""
        return majority(len(self._voters))

    def set_voters(self, voters: list[str], epoch: int) -> None:
        """Replace the voter set. An open table continues with the new set; added voters receive all rows."""
        added = set(voters) - set(self._voters)
        self._voters = voters
        self.voters_epoch = epoch
        if self.step in (TableStep.READING, TableStep.RESTORING):
            return self._start_reading()
        self._added = (self._added | added) & set(voters)
        for write_id, write in list(self._writes.items()):
            write.replicas = [replica for replica in write.replicas if replica in voters]
            # A copy, since the message with the old epoch may still be in transit.
            write.message = replace(write.message, voters_epoch=epoch)
            self._check_committed(write_id, write)
        if self.step is TableStep.OPEN:
            self._resend_interval_ms = RESPONSE_TIMEOUT_MS
            self._timer_generation += 1
            self.timer_fired(self._timer_generation)

    def majority_is_complete(self) -> bool:
        """Return whether a majority of the voters has all rows with this primary's base."""
        behind = self._added.union(*(write.missing() for write in self._writes.values()))
        return self.step is TableStep.OPEN and len(set(self._voters) - behind) >= self.majority()

    def start(self, token: int) -> None:
        """Start reading, as this process has acquired the lease."""
        self.token = token
        self._start_reading()

    def stop(self) -> None:
        """Stop, as this process has lost the lease; the outcome of pending writes is unknown."""
        self._timer_generation += 1
        self.actions += [
            WriteCompleted(write.request_id, False) for write in self._writes.values() if write.request_id
        ]
        self.step = TableStep.IDLE
        self._writes = {}

    def _start_reading(self) -> None:
        """Start reading from scratch, as a replica that has lost its memory is not bound by its promise."""
        self.step = TableStep.READING
        self.rows_lost = False
        self._resend_interval_ms = RESPONSE_TIMEOUT_MS
        self.rows = {}
        self._writes = {}
        self._has_base = set()
        self._incarnations = {}
        self._added = set()
        self._last_sequence = 0
        self._resends = 0
        self._read = TableReadSession(self._rng.getrandbits(31) + self._timer_generation)
        self._timer_generation += 1
        self._request_pages()

    def _request_pages(self) -> None:
        self.actions += self._read.requests(self._voters, self.token, self.voters_epoch)
        self.set_timer(RESPONSE_TIMEOUT_MS, self._timer_generation)

    def write(self, key: str, value: bytes, request_id: int) -> None:
        """Write a row; `WriteCompleted(request_id)` follows unless the id is 0. Raises `WriteRejected`."""
        if self.step is TableStep.IDLE:
            raise WriteRejected("this process does not hold the ledger")
        if self.step is not TableStep.OPEN:
            raise WriteRejected("the ledger is being read back from a majority of the voters")
        if not 0 < len(key.encode()) <= MAX_KEY_BYTES or len(value) > MAX_VALUE_BYTES:
            raise WriteRejected(
                f"a key must be 1 to {MAX_KEY_BYTES} bytes, a value at most {MAX_VALUE_BYTES} bytes"
            )
        if key not in self.rows and len(self.rows) >= MAX_ROWS:
            raise WriteRejected(f"the ledger is full: it has {MAX_ROWS} rows")
        self._last_sequence += 1
        row = TableRow(key, self.token, self._last_sequence, value)
        self.rows[key] = row
        self._resend_interval_ms = RESPONSE_TIMEOUT_MS
        self._send([row], 0, 0, self._voters, request_id)

    def _send(
        self, rows: list[TableRow], page_index: int, page_count: int, replicas: list[str],
        request_id: int = 0, incarnation: int = 0,
    ) -> None:  # fmt: skip
        self._last_write_id += 1
        message = TableWrite(
            STATE_TABLE_ROLE, self.token, self._last_write_id, page_index, page_count, self.rows_lost, rows,
            incarnation, self.voters_epoch,
        )  # fmt: skip
        self._writes[self._last_write_id] = _PendingWrite(message, list(replicas), request_id)
        self.actions.extend(SendMessage(replica, message) for replica in replicas)

    def _send_base(self, replicas: list[str], incarnation: int = 0) -> None:
        pages = paginate(list(self.rows.values()))
        for index, page in enumerate(pages):
            self._send(page, index, len(pages), replicas, incarnation=incarnation)

    def timer_fired(self, generation: int) -> None:
        """Resend unacknowledged messages; while open, also probe whether replicas have restarted."""
        if generation != self._timer_generation:
            return
        if self.step is TableStep.READING:
            return self._request_pages()
        self._resends += 1
        if self.step is TableStep.RESTORING and self._resends > MAX_RESTORE_RESENDS:
            return self._start_reading()  # a replica that was read is unreachable; try others
        for write in self._writes.values():
            self.actions.extend(SendMessage(replica, write.message) for replica in write.missing())
        if self.step is TableStep.OPEN:
            probe = TableWrite(
                STATE_TABLE_ROLE, self.token, 0, 0, 0, self.rows_lost, [], 0, self.voters_epoch
            )
            self.actions.extend(SendMessage(replica, probe) for replica in self._voters)
            self._resend_interval_ms = min(MAX_RESEND_INTERVAL_MS, 2.0 * self._resend_interval_ms)
        self.set_timer(self._resend_interval_ms, self._timer_generation)

    def handle(self, message: TablePage | TableWriteAck, sender: str) -> None:
        """Handle a replica's response; a response to an earlier primary is ignored."""
        if sender not in self._voters or message.token != self.token or self.step is TableStep.IDLE:
            return
        if isinstance(message, TableWriteAck):
            return self._handle_ack(message, sender)
        if message.recovering:
            return self._handle_restarted(sender, message.incarnation)
        if self.step is not TableStep.READING:
            return
        if self._read.handle_page(message, sender):
            self.actions.append(self._read.request(sender, self.token, self.voters_epoch))
        elif len(self._read.last_pages) >= self.majority():
            self._restore()

    def _handle_restarted(self, replica: str, incarnation: int) -> None:
        """Handle a replica that has lost its memory: its acknowledgements are void, and it needs the base."""
        if self.step not in (TableStep.RESTORING, TableStep.OPEN):
            return
        self._incarnations[replica] = incarnation
        for write_id, write in list(self._writes.items()):
            write.acknowledged_by.discard(replica)
            if (
                write.message.incarnation
                and write.replicas == [replica]
                and write.message.incarnation != incarnation
            ):
                del self._writes[write_id]
        if not any(
            write.message.incarnation == incarnation and write.replicas == [replica]
            for write in self._writes.values()
        ):
            self._send_base([replica], incarnation)

    def _restore(self) -> None:
        """Send the rows read from a majority as the new base."""
        result = self._read.result()
        self.rows_lost = result.rows_lost
        for n, row in enumerate(sorted(result.rows.values(), key=TableRow.version)):
            self.rows[row.key] = TableRow(row.key, self.token, n + 1, row.value)
        self._last_sequence = len(self.rows)
        self.step = TableStep.RESTORING
        self._timer_generation += 1
        self._send_base(self._voters)
        self.set_timer(RESPONSE_TIMEOUT_MS, self._timer_generation)

    def _handle_ack(self, message: TableWriteAck, replica: str) -> None:
        write = self._writes.get(message.write_id)
        if write is None:
            return
        read = self._read.last_pages.get(replica)
        if self.step is TableStep.RESTORING and read is not None and read.incarnation != message.incarnation:
            # The replica has lost its promise to reject lower tokens and may have stored older rows since.
            return self._start_reading()
        if self._incarnations.setdefault(replica, message.incarnation) != message.incarnation:
            return  # a delayed acknowledgement of a former incarnation
        write.acknowledged_by.add(replica)
        if self.step is TableStep.RESTORING and read is not None and self._has_acknowledged_base(replica):
            self._has_base.add(replica)
            if len(self._has_base) >= self.majority():
                self.step = TableStep.OPEN
                self.actions.append(TableOpened(self.token, len(self.rows), self.rows_lost))
        self._check_committed(message.write_id, write)

    def _check_committed(self, write_id: int, write: _PendingWrite) -> None:
        """Commit a write that a majority of the current voters has stored; end it once all replicas have."""
        if write.request_id and len(write.acknowledged_by.intersection(self._voters)) >= self.majority():
            self.actions.append(WriteCompleted(write.request_id, True))
            write.request_id = 0
        if write.missing() or self.step is not TableStep.OPEN:
            return
        del self._writes[write_id]
        if write.message.incarnation and not any(
            other.message.incarnation and other.replicas == write.replicas for other in self._writes.values()
        ):
            self._added.difference_update(write.replicas)

    def _has_acknowledged_base(self, replica: str) -> bool:
        pages = (
            write
            for write in self._writes.values()
            if write.message.page_count and not write.message.incarnation
        )
        return all(replica in write.acknowledged_by for write in pages)


def _no_timer(delay_ms: float, generation: int) -> None:
    """Default of `TablePrimary.set_timer` until the owner sets it."""
