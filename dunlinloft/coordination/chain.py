"""Chain replication within one epoch: the head appends, the tail commits, a successor catches up.

Follows van Renesse and Schneider, "Chain Replication for Supporting High Throughput and Availability" (OSDI
2004). Different from there, what is committed is on a given number of disks, `min_synced`: a tail commits
only where so many members of this epoch, itself included, are known to be equal. Members before a synced tail
hold what it holds, so its position in the chain tells that number. A chain's length says nothing: its last
members may still be catching up.
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

MAX_RECENT_ENTRIES = 64  # in memory, for a successor that is a little behind; an older one gets a snapshot
POSITION_RESEND_INTERVAL_MS = 200.0  # between positions sent to a successor that may not have got something

NO_SEQUENCE = -1  # no position known yet; an empty state has sequence 0

PersistThen = Callable[[Record, Callable[[], None]], None]
"""Appends a record to the disk and calls the second argument once it is there."""


class ChainReplica:
    """A replica's part in an epoch's chain. Owned by `Replica`; `Calls` appends at the head and reads.

    Invariants:

    - `state` is what the disk holds; it changes only once the record that changes it is there.
    - `committed` is `state` or an earlier point of its history, and never goes back.
    - At most one record that changes `state` is on its way to the disk.
    - `synced` holds in the current epoch only: this replica is its head, or was found equal to a synced
      predecessor.
    """

    def __init__(
        self,
        local_member: Member,
        durable: DurableState,
        emit: Callable[[Action], None],
        persist: PersistThen,
        min_synced: int,
    ) -> None:
        """Begin outside of any epoch.

        Parameters
        ----------
        me : this replica.
        durable : what its disk holds.
        emit : takes the actions for the host.
        persist : see `PersistThen`.
        min_synced : on how many disks an entry has to be before it counts as committed.
        """
        self._min_synced = min_synced
        self._position: int | None = None  # in the chain; None where it is not in it
        self._local_member = local_member
        self._emit = emit
        self._persist = persist
        self.state = durable.state  # all that is on disk here
        is_committed = durable.committed_digest == durable.state.chain_digest
        self.committed = durable.state if is_committed else ChainState()
        self.epoch = 0
        self.synced = False  # equal to the predecessor in this epoch, or head
        self.synced_epoch = durable.synced_epoch  # the last in which it was found equal, as is on disk
        self._write_pending = False  # a record that changes the state is on its way to the disk
        self._epoch_committed = NO_SEQUENCE  # the sequence up to which this epoch's tail has committed
        self._uncommitted: dict[int, ChainState] = {}  # by sequence
        self._recent: deque[LogEntry] = deque(maxlen=MAX_RECENT_ENTRIES)
        self._predecessor: Member | None = None
        self._successor: Member | None = None
        self._successor_sequence = NO_SEQUENCE
        self._successor_synced = False
        self._position_sent_ms = 0.0

    # The epoch.

    def enter_epoch(self, view: View) -> None:
        """Take the position that a view gives. The view is on disk."""
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
        """Take part in no epoch until the next view is on disk."""
        self.epoch = 0
        self.synced = False
        self._epoch_committed = NO_SEQUENCE
        self._predecessor = None
        self._successor = None

    def seal_epoch(self) -> bool:
        """Take no further part in this epoch, if it can't have committed anything without this replica.

        Whatever it commits went through each member of its chain, found equal on disk; a member behind the
        head that was not found equal, and isn't just being found so, ends that possibility. Returns whether
        it does.
        """
        if self.synced or self._write_pending or not self.epoch or not self._position:
            return False
        if self.synced_epoch >= self.epoch:
            return False
        self.leave_epoch()
        return True

    @property
    def fully_committed(self) -> bool:
        """Whether everything held here was committed by this epoch's tail."""
        return self.synced and self._epoch_committed == self.state.sequence and not self._write_pending

    @property
    def is_tail(self) -> bool:
        """Whether it commits and answers reads: the last member, behind enough others that are equal."""
        enough = self._position is not None and self._position + 1 >= self._min_synced
        return self.synced and self._successor is None and enough

    # Appending and committing.

    def append(self, entry: LogEntry) -> None:
        """Append an entry here; as the head, or as what the predecessor sent."""
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
        """After a change: acknowledge to the predecessor, and commit where this is the tail."""
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
            # On disk so that after a restart the data plane gets it at once, before the chain works again.
            self._persist(CommittedRecord(state.chain_digest), lambda: None)
        self._uncommitted = {n: s for n, s in self._uncommitted.items() if n > sequence}
        self._send_committed()

    def _send_committed(self) -> None:
        if self._predecessor is not None and self._epoch_committed >= 0:
            committed = Committed(self._local_member, self.epoch, self.committed.sequence)
            self._emit(Send(self._predecessor.address, committed))

    def recent_entry(self, sequence: int) -> LogEntry | None:
        """A recent entry; None where it is no longer in memory."""
        return next((entry for entry in self._recent if entry.sequence == sequence), None)

    # Towards the successor.

    def on_tick(self, now_ms: float) -> None:
        """Send the position again where the successor may not have got something."""
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
        """Take the successor's acknowledgement, or send what it lacks."""
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
        """The entries after a point of this history; None where that point is not in memory."""
        entries = list(self._recent)
        for index, entry in enumerate(entries):
            if (entry.sequence, entry.chain_digest) == (sequence, chain_digest):
                return tuple(entries[index + 1 :])
        return None

    def on_committed(self, committed: Committed) -> None:
        """Take from the successor that the tail has committed up to a sequence."""
        if self._is_from(committed.sender, committed.epoch, self._successor) and self.synced:
            self._commit(committed.sequence)

    # Towards the predecessor.

    def _send_position_to_predecessor(self) -> None:
        if self._predecessor is not None:
            position = SuccessorPosition(
                self._local_member, self.epoch, self.state.sequence, self.state.chain_digest
            )
            self._emit(Send(self._predecessor.address, position))

    def on_predecessor_position(self, position: PredecessorPosition) -> None:
        """Compare with the predecessor: ask for what is missing, or become synced where both are equal."""
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
        """Append the predecessor's entries; for one that does not follow, wait for its next position."""
        if not self._is_from(append.sender, append.epoch, self._predecessor) or self._write_pending:
            return
        following = [entry for entry in append.entries if entry.sequence > self.state.sequence]
        if not following or following[0].sequence != self.state.sequence + 1:
            self._send_position_to_predecessor()
            return
        self._append_all(following, self.epoch)

    def _append_all(self, entries: list[LogEntry], epoch: int) -> None:
        """Append one entry after the other, each once the one before it is on disk."""
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
        """Replace the state by the predecessor's, unless that is older than what is committed here."""
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
        """Whether a message is of this epoch and from the neighbour that it should come from."""
        return epoch == self.epoch != 0 and expected is not None and sender.id == expected.id
