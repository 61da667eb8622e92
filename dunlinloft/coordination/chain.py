"""Chain replication within one epoch: the head appends, the tail commits, offers let a successor catch up.

What is committed is on as many disks as `copies` says: a tail commits only where so many members of this
epoch, itself included, are known to be equal. Members before a synced tail hold what it holds, so its place
in the chain is that number. A chain's length says nothing: its last members may still be catching up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from dunlinloft.coordination.actions import Action, Commit, Send
from dunlinloft.coordination.durable import after_entry, continues
from dunlinloft.coordination.messages import (
    Append,
    ChainState,
    Committed,
    CommittedRecord,
    Durable,
    Entry,
    EntryRecord,
    Have,
    Install,
    InstallRecord,
    Member,
    Offer,
    Record,
    SyncedRecord,
    View,
)

RECENT_MOST = 64  # entries kept for a successor that is a little behind
OFFER_MS = 200.0  # what may have been lost is offered again after so long

PersistThen = Callable[[Record, Callable[[], None]], None]


class ChainLink:
    """A replica's place in an epoch's chain. `persist` runs its second argument once the record lasts."""

    def __init__(
        self,
        me: Member,
        durable: Durable,
        emit: Callable[[Action], None],
        persist: PersistThen,
        copies: int,
    ) -> None:
        """`copies` is on how many disks something has to be before it counts as committed."""
        self._copies = copies
        self._place: int | None = None
        self._me = me
        self._emit = emit
        self._persist = persist
        self.state = durable.state  # all that is on disk here
        known = durable.committed_digest == durable.state.chain_digest
        self.committed = durable.state if known else ChainState()
        self.epoch = 0
        self.synced = False  # equal to the predecessor in this epoch, or head
        self.synced_epoch = durable.synced_epoch  # the last in which it was found equal, as is on disk
        self._storing = False
        self._epoch_committed = -1  # the sequence up to which this epoch's tail has committed
        self._uncommitted: dict[int, ChainState] = {}
        self._recent: deque[Entry] = deque(maxlen=RECENT_MOST)
        self._predecessor: Member | None = None
        self._successor: Member | None = None
        self._successor_at = -1
        self._successor_synced = False
        self._offered_ms = 0.0

    def enter(self, view: View) -> None:
        """Take the place that a view gives; the view is on disk."""
        place = self._place = view.place(self._me.id)
        self.epoch = view.epoch
        self.synced = place == 0
        self._predecessor = self._successor = None
        self._successor_at = -1
        self._successor_synced = False
        self._offered_ms = 0.0
        self._epoch_committed = -1
        if place is None:
            return
        if place > 0:
            self._predecessor = view.chain[place - 1]
        if place + 1 < len(view.chain):
            self._successor = view.chain[place + 1]
        self._on_progress()

    def leave(self) -> None:
        """Take part in no epoch until the next view is on disk."""
        self.epoch = 0
        self.synced = False
        self._epoch_committed = -1
        self._predecessor = self._successor = None

    def stop_uncommitted(self) -> bool:
        """Take no further part in this epoch, if it can't have committed anything without this replica.

        Whatever it commits went through each member of its chain, found equal on disk; a member behind the
        head that was not found equal, and isn't just being found so, ends that possibility.
        """
        if self.synced or self._storing or not self.epoch or not self._place:
            return False
        if self.synced_epoch >= self.epoch:
            return False
        self.leave()
        return True

    @property
    def settled(self) -> bool:
        """Whether all that is held was committed by this epoch's tail."""
        return self.synced and self._epoch_committed == self.state.sequence and not self._storing

    @property
    def is_tail(self) -> bool:
        """Whether it commits and answers reads: the last member, behind enough others that are equal."""
        enough = self._place is not None and self._place + 1 >= self._copies
        return self.synced and self._successor is None and enough

    def append(self, entry: Entry) -> None:
        """Append an entry here; as the head, or as what the predecessor sent."""
        self._storing = True
        epoch = self.epoch
        self._persist(EntryRecord(entry), lambda: self._appended(entry, epoch))

    def _appended(self, entry: Entry, epoch: int) -> None:
        self._storing = False
        self._take(after_entry(self.state, entry))
        self._recent.append(entry)
        if epoch != self.epoch:
            return
        if self._successor is not None and self._successor_synced:
            self._emit(Send(self._successor.address, Append(self._me, self.epoch, (entry,))))
        self._on_progress()

    def _take(self, state: ChainState) -> None:
        self.state = state
        self._uncommitted[state.sequence] = state

    def _on_progress(self) -> None:
        """After a change: tell the neighbours, and commit where this is the tail."""
        if not self.synced:
            return
        if self._predecessor is not None:
            self._tell_have()
        if self.is_tail:
            self._commit(self.state.sequence)

    def _tell_have(self) -> None:
        if self._predecessor is not None:
            have = Have(self._me, self.epoch, self.state.sequence, self.state.chain_digest)
            self._emit(Send(self._predecessor.address, have))

    def _commit(self, sequence: int) -> None:
        state = self.state if sequence == self.state.sequence else self._uncommitted.get(sequence)
        self._epoch_committed = max(self._epoch_committed, sequence)
        if state is not None and state.sequence > self.committed.sequence:
            self.committed = state
            self._emit(Commit(state))
            # So that after a restart it is told at once, before the chain has met again.
            self._persist(CommittedRecord(state.chain_digest), lambda: None)
        self._uncommitted = {n: s for n, s in self._uncommitted.items() if n > sequence}
        self._tell_committed()

    def _tell_committed(self) -> None:
        if self._predecessor is not None and self._epoch_committed >= 0:
            told = Committed(self._me, self.epoch, self.committed.sequence)
            self._emit(Send(self._predecessor.address, told))

    def on_tick(self, now_ms: float) -> None:
        """Offer again what the successor may not have got."""
        if not self.synced or self._successor is None or now_ms - self._offered_ms < OFFER_MS:
            return
        behind = self._successor_at != self.state.sequence or not self._successor_synced
        if behind or self._epoch_committed != self.state.sequence:
            self._offered_ms = now_ms
            self._offer()

    def _offer(self) -> None:
        if self._successor is not None:
            offer = Offer(self._me, self.epoch, self.state.sequence, self.state.chain_digest)
            self._emit(Send(self._successor.address, offer))

    def on_offer(self, offer: Offer) -> None:
        """What the predecessor holds: the same as here, or something to catch up with."""
        if not self._from(offer.sender, offer.epoch, self._predecessor) or self._storing:
            return
        if (offer.sequence, offer.chain_digest) != (self.state.sequence, self.state.chain_digest):
            self._tell_have()
        elif self.synced:
            self._on_progress()
            self._tell_committed()
        else:
            self._storing = True
            epoch = self.epoch
            self._persist(SyncedRecord(epoch), lambda: self._now_synced(epoch))

    def _now_synced(self, epoch: int) -> None:
        self._storing = False
        self.synced_epoch = max(self.synced_epoch, epoch)
        if epoch == self.epoch:
            self.synced = True
            self._on_progress()

    def on_have(self, have: Have) -> None:
        """What the successor holds."""
        if not self._from(have.sender, have.epoch, self._successor) or not self.synced:
            return
        assert self._successor is not None
        if (have.sequence, have.chain_digest) == (self.state.sequence, self.state.chain_digest):
            self._successor_at = have.sequence
            if not self._successor_synced:
                self._successor_synced = True
                self._offer()
            return
        missing = self._after(have.sequence, have.chain_digest)
        if missing is None:
            self._emit(Send(self._successor.address, Install(self._me, self.epoch, self.state)))
        elif missing:
            self._emit(Send(self._successor.address, Append(self._me, self.epoch, missing)))

    def _after(self, sequence: int, chain_digest: str) -> tuple[Entry, ...] | None:
        """The entries after a point of this history; None where that point isn't known."""
        entries = list(self._recent)
        for place, entry in enumerate(entries):
            if (entry.sequence, entry.chain_digest) == (sequence, chain_digest):
                return tuple(entries[place + 1 :])
        return None

    def entry_at(self, sequence: int) -> Entry | None:
        """A recent entry; None where it isn't kept any more."""
        return next((entry for entry in self._recent if entry.sequence == sequence), None)

    def on_append(self, append: Append) -> None:
        """Entries from the predecessor; one that doesn't follow is left to its next offer."""
        if not self._from(append.sender, append.epoch, self._predecessor) or self._storing:
            return
        following = [entry for entry in append.entries if entry.sequence > self.state.sequence]
        if not following or following[0].sequence != self.state.sequence + 1:
            self._tell_have()
            return
        self._append_all(following, self.epoch)

    def _append_all(self, entries: list[Entry], epoch: int) -> None:
        first, rest = entries[0], entries[1:]
        if not continues(self.state, first):
            self._tell_have()
            return
        self._storing = True

        def appended() -> None:
            self._appended(first, epoch)
            if epoch != self.epoch:
                return
            if rest:
                self._append_all(rest, epoch)
            elif not self.synced:
                self._tell_have()

        self._persist(EntryRecord(first), appended)

    def on_install(self, install: Install) -> None:
        """The predecessor's whole state replaces this one."""
        if not self._from(install.sender, install.epoch, self._predecessor) or self._storing:
            return
        if install.state.sequence < self.committed.sequence:
            return
        self._storing = True
        epoch = self.epoch

        def installed() -> None:
            self._storing = False
            self._recent.clear()
            self._uncommitted.clear()
            self._take(install.state)
            if epoch == self.epoch:
                self._tell_have()

        self._persist(InstallRecord(install.state), installed)

    def on_committed(self, committed: Committed) -> None:
        """The tail has everything up to there."""
        if self._from(committed.sender, committed.epoch, self._successor) and self.synced:
            self._commit(committed.sequence)

    def _from(self, sender: Member, epoch: int, expected: Member | None) -> bool:
        return epoch == self.epoch != 0 and expected is not None and sender.id == expected.id
