"""Chain replication within one epoch: the head appends, the tail commits, a successor catches up.

Follows van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI
2004), with one difference: a committed entry is on at least `min_synced` disks. The tail commits only if that
many members of this epoch, itself included, are known to hold the same history. All members before a synced
tail hold what the tail holds, so its position in the chain gives that number. The length of the chain does
not, because its last members may still be catching up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from dunlinloft.coordination.actions import Action, Commit, Send
from dunlinloft.coordination.chain_messages import (
    AppendEntries,
    Committed,
    InstallSnapshot,
    PredecessorPosition,
    SuccessorPosition,
)
from dunlinloft.coordination.history import is_next_entry, state_after
from dunlinloft.coordination.records import (
    CommittedRecord,
    DurableState,
    EntryRecord,
    Record,
    SnapshotRecord,
    SyncedRecord,
)
from dunlinloft.coordination.state import ChainState, LogEntry
from dunlinloft.coordination.views import Member, View

MAX_RECENT_ENTRIES = 64  # in memory; a successor that lacks older entries gets a snapshot
POSITION_RESEND_INTERVAL_MS = 200.0  # between positions sent to a successor that may have missed a message

NO_SEQUENCE = -1  # no position known yet; an empty state has sequence 0

PersistFunction = Callable[[Record, Callable[[], None]], None]
"""Appends a record to the disk and calls the second argument once the record is durable."""


class ChainReplica:
    """A replica's role in the chain of an epoch. Owned by `Replica`; `CallHandler` appends and reads.

    Invariants:

    - `state` is the durable state; it changes only once the record of the change is durable.
    - `committed` is `state` or an earlier point of its history, and never goes back.
    - At most one write that changes `state` is pending.
    - `synced` applies to the current epoch: this replica is its head, or was found equal to a synced
      predecessor.
    """

    def __init__(
        self,
        local_member: Member,
        durable: DurableState,
        emit: Callable[[Action], None],
        persist: PersistFunction,
        min_synced: int,
    ) -> None:
        """Create a replica that is in no epoch.

        Parameters
        ----------
        local_member : this replica.
        durable : the state recovered from its disk.
        emit : receives the actions for the host.
        persist : see `PersistFunction`.
        min_synced : the number of disks that must hold an entry before it is committed.
        """
        self._min_synced = min_synced
        self._position: int | None = None  # in the chain; None if not in it
        self._local_member = local_member
        self._emit = emit
        self._persist = persist
        self.state = durable.state
        is_committed = durable.committed_digest == durable.state.chain_digest
        self.committed = durable.state if is_committed else ChainState()
        self.epoch = 0
        self.synced = False  # equal to the predecessor in this epoch, or head
        self.synced_epoch = durable.synced_epoch  # last epoch in which it was found equal; durable
        self._write_pending = False  # a write that changes the state is pending
        self._epoch_committed = NO_SEQUENCE  # up to which this epoch's tail has committed
        self._uncommitted: dict[int, ChainState] = {}  # by sequence
        self._recent: deque[LogEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._predecessor: Member | None = None
        self._successor: Member | None = None
        self._successor_sequence = NO_SEQUENCE
        self._successor_synced = False
        self._position_sent_ms = 0.0

    # Epochs.

    def enter_epoch(self, view: View) -> None:
        """Assume this replica's position in the chain of a view. The view is durable."""
        self._position = view.position_of(self._local_member.id)
        position = self._position
        self.epoch = view.epoch
        self.synced = position == 0
        self._predecessor = None
        self._successor = None
        self._successor_sequence = NO_SEQUENCE
        self._successor_synced = False
        self._position_sent_ms = 0.0
        self._epoch_committed = NO_SEQUENCE
        if position is None:
            return
        if position > 0:
            self._predecessor = view.chain[position - 1]
        if position + 1 < len(view.chain):
            self._successor = view.chain[position + 1]
        self._on_progress()

    def leave_epoch(self) -> None:
        """Leave the chain until the next view is durable."""
        self.epoch = 0
        self.synced = False
        self._epoch_committed = NO_SEQUENCE
        self._predecessor = None
        self._successor = None

    def seal_epoch(self) -> bool:
        """Leave this epoch for good if that ensures that it never commits; return whether it does.

        An entry commits only after every member of the chain has been found equal to its predecessor, which
        is recorded on disk. A member behind the head that has not been found equal, and is not writing that
        record, can therefore rule out any commit in this epoch by leaving it.
        """
        if self.synced or self._write_pending or not self.epoch or not self._position:
            return False
        if self.synced_epoch >= self.epoch:
            return False
        self.leave_epoch()
        return True

    @property
    def fully_committed(self) -> bool:
        """Whether this epoch's tail has committed the whole state of this replica."""
        return self.synced and self._epoch_committed == self.state.sequence and not self._write_pending

    @property
    def is_tail(self) -> bool:
        """Whether this replica commits and serves reads: it is the last member and enough are synced."""
        enough_synced = self._position is not None and self._position + 1 >= self._min_synced
        return self.synced and self._successor is None and enough_synced

    # Append and commit.

    def append(self, entry: LogEntry) -> None:
        """Append an entry to the local log: a new one at the head, or one received from the predecessor."""
        self._write_pending = True
        epoch = self.epoch
        self._persist(EntryRecord(entry), lambda: self._on_appended(entry, epoch))

    def _on_appended(self, entry: LogEntry, epoch: int) -> None:
        self._write_pending = False
        self._set_state(state_after(self.state, entry))
        self._recent.append(entry)
        if epoch != self.epoch:
            return
        if self._successor is not None and self._successor_synced:
            self._emit(Send(self._successor.address, AppendEntries(self._local_member, self.epoch, (entry,))))
        self._on_progress()

    def _set_state(self, state: ChainState) -> None:
        self.state = state
        self._uncommitted[state.sequence] = state

    def _on_progress(self) -> None:
        """Acknowledge a change to the predecessor, and commit it if this is the tail."""
        if not self.synced:
            return
        if self._predecessor is not None:
            self._send_position_to_predecessor()
        if self.is_tail:
            self._commit(self.state.sequence)

    def _commit(self, sequence: int) -> None:
        state = self.state if sequence == self.state.sequence else self._uncommitted.get(sequence)
        self._epoch_committed = max(self._epoch_committed, sequence)
        if state is not None and state.sequence > self.committed.sequence:
            self.committed = state
            self._emit(Commit(state))
            # Durable, so that a restarted replica can publish it before the chain is available again.
            self._persist(CommittedRecord(state.chain_digest), lambda: None)
        self._uncommitted = {n: s for n, s in self._uncommitted.items() if n > sequence}
        self._send_committed()

    def _send_committed(self) -> None:
        if self._predecessor is not None and self._epoch_committed >= 0:
            committed = Committed(self._local_member, self.epoch, self.committed.sequence)
            self._emit(Send(self._predecessor.address, committed))

    def recent_entry(self, sequence: int) -> LogEntry | None:
        """Return a recent entry; None if it is no longer in memory."""
        return next((entry for entry in self._recent if entry.sequence == sequence), None)

    # Replication to the successor.

    def on_tick(self, now_ms: float) -> None:
        """Resend the position if the successor may have missed a message."""
        if not self.synced or self._successor is None:
            return
        if now_ms - self._position_sent_ms < POSITION_RESEND_INTERVAL_MS:
            return
        behind = self._successor_sequence != self.state.sequence or not self._successor_synced
        if behind or self._epoch_committed != self.state.sequence:
            self._position_sent_ms = now_ms
            self._send_position_to_successor()

    def _send_position_to_successor(self) -> None:
        if self._successor is not None:
            position = PredecessorPosition(
                self._local_member, self.epoch, self.state.sequence, self.state.chain_digest
            )
            self._emit(Send(self._successor.address, position))

    def on_successor_position(self, position: SuccessorPosition) -> None:
        """Handle the successor's acknowledgement, or send the entries that it lacks."""
        if not self._is_from(position.sender, position.epoch, self._successor) or not self.synced:
            return
        assert self._successor is not None
        if (position.sequence, position.chain_digest) == (self.state.sequence, self.state.chain_digest):
            self._successor_sequence = position.sequence
            if not self._successor_synced:
                self._successor_synced = True
                self._send_position_to_successor()
            return
        missing = self._entries_after(position.sequence, position.chain_digest)
        if missing is None:
            snapshot = InstallSnapshot(self._local_member, self.epoch, self.state)
            self._emit(Send(self._successor.address, snapshot))
        elif missing:
            self._emit(Send(self._successor.address, AppendEntries(self._local_member, self.epoch, missing)))

    def _entries_after(self, sequence: int, chain_digest: str) -> tuple[LogEntry, ...] | None:
        """Return the entries after a point of this history; None if that point is not in memory."""
        entries = list(self._recent)
        for index, entry in enumerate(entries):
            if (entry.sequence, entry.chain_digest) == (sequence, chain_digest):
                return tuple(entries[index + 1 :])
        return None

    def on_committed(self, committed: Committed) -> None:
        """Handle the successor's notice that the tail has committed up to a sequence."""
        if self._is_from(committed.sender, committed.epoch, self._successor) and self.synced:
            self._commit(committed.sequence)

    # Replication from the predecessor.

    def _send_position_to_predecessor(self) -> None:
        if self._predecessor is not None:
            position = SuccessorPosition(
                self._local_member, self.epoch, self.state.sequence, self.state.chain_digest
            )
            self._emit(Send(self._predecessor.address, position))

    def on_predecessor_position(self, position: PredecessorPosition) -> None:
        """Compare with the predecessor: request missing entries, or become synced if both are equal."""
        if not self._is_from(position.sender, position.epoch, self._predecessor) or self._write_pending:
            return
        if (position.sequence, position.chain_digest) != (self.state.sequence, self.state.chain_digest):
            self._send_position_to_predecessor()
        elif self.synced:
            self._on_progress()
            self._send_committed()
        else:
            self._write_pending = True
            epoch = self.epoch
            self._persist(SyncedRecord(epoch), lambda: self._on_synced(epoch))

    def _on_synced(self, epoch: int) -> None:
        self._write_pending = False
        self.synced_epoch = max(self.synced_epoch, epoch)
        if epoch == self.epoch:
            self.synced = True
            self._on_progress()

    def on_append_entries(self, append: AppendEntries) -> None:
        """Append the predecessor's entries, or send the position if they don't continue this log."""
        if not self._is_from(append.sender, append.epoch, self._predecessor) or self._write_pending:
            return
        following = [entry for entry in append.entries if entry.sequence > self.state.sequence]
        if not following or following[0].sequence != self.state.sequence + 1:
            self._send_position_to_predecessor()
            return
        self._append_all(following, self.epoch)

    def _append_all(self, entries: list[LogEntry], epoch: int) -> None:
        """Append entries one at a time, each once the previous one is durable."""
        first, *rest = entries
        if not is_next_entry(self.state, first):
            self._send_position_to_predecessor()
            return
        self._write_pending = True
        self._persist(EntryRecord(first), lambda: self._on_first_appended(first, rest, epoch))

    def _on_first_appended(self, first: LogEntry, rest: list[LogEntry], epoch: int) -> None:
        self._on_appended(first, epoch)
        if epoch != self.epoch:
            return
        if rest:
            self._append_all(rest, epoch)
        elif not self.synced:
            self._send_position_to_predecessor()

    def on_install_snapshot(self, install: InstallSnapshot) -> None:
        """Replace the state by the predecessor's, unless that is older than the committed state here."""
        if not self._is_from(install.sender, install.epoch, self._predecessor) or self._write_pending:
            return
        if install.state.sequence < self.committed.sequence:
            return
        self._write_pending = True
        epoch = self.epoch
        self._persist(SnapshotRecord(install.state), lambda: self._on_installed(install.state, epoch))

    def _on_installed(self, state: ChainState, epoch: int) -> None:
        self._write_pending = False
        self._recent.clear()
        self._uncommitted.clear()
        self._set_state(state)
        if epoch == self.epoch:
            self._send_position_to_predecessor()

    def _is_from(self, sender: Member, epoch: int, expected: Member | None) -> bool:
        """Return whether a message is from the expected neighbour, in this epoch."""
        return epoch == self.epoch != 0 and expected is not None and sender.id == expected.id
