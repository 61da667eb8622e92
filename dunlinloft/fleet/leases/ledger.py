"""The ledger: the fleet's small records, written by the holder of one duty and kept in the voters' memory.

After Viewstamped Replication's change of views (Liskov and Cowling 2012), with fencing tokens for views. Its
holder first reads from a majority, each of whom refuses lower tokens from then on; of what they have, that
under the greatest *base* counts. It has a majority replace what they have by this, under its own token as
the base, and only then takes new rows. So a row that was acknowledged is in every later base, and one that
was not, and that a reading missed, never comes up again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec.structs import replace

from dunlinloft.fleet.leases.messages import (
    Action,
    LedgerPage,
    LedgerRead,
    LedgerRow,
    LedgerStored,
    LedgerWrite,
    Opened,
    Settled,
    Tell,
    majority,
)

DUTY = "ledger"
MOST_ROWS, MOST_KEY, MOST_VALUE = 1_000, 64, 512  # rows of the ledger; bytes of a key and of a value
PAGE_BYTES, ROW_BYTES = 1_000, 24  # of rows that one message carries; what a row takes beside key and value
TRY_MS, MOST_TRY_MS = 80.0, 2_000.0  # for answers of voters; then those missing are asked again, ever later
MOST_TICKS = 8  # tries to have a majority take a base; then it reads again
IDLE, READING, RESTORING, OPEN = "idle", "reading", "restoring", "open"


def size_of(row: LedgerRow) -> int:
    """Bytes that a row takes, about."""
    return ROW_BYTES + len(row.key.encode()) + len(row.value)


def pages(rows: list[LedgerRow]) -> list[list[LedgerRow]]:
    """Rows in parts that fit a message; one part at least."""
    found, room = [list[LedgerRow]()], PAGE_BYTES
    for row in rows:
        if size_of(row) > room and found[-1]:
            found.append([])
            room = PAGE_BYTES
        found[-1].append(row)
        room -= size_of(row)
    return found


def page_after(rows: dict[str, LedgerRow], after: str) -> tuple[list[LedgerRow], bool]:
    """The first rows by key beyond one, as many as fit a message; and whether there are more."""
    rest = [rows[key] for key in sorted(rows) if key > after]
    first = pages(rest)[0]
    return first, len(first) < len(rest)


def newer(rows: dict[str, LedgerRow], row: LedgerRow) -> None:
    """Take a row in, if it is newer than what is there."""
    old = rows.get(row.key)
    if old is None or old.stamp() < row.stamp():
        rows[row.key] = row


class Reading:
    """What several voters have, read page by page, each voter's in one life of its."""

    def __init__(self, try_: int) -> None:
        self.try_ = try_
        self._after: dict[str, str] = {}  # by voter: the key beyond which its next page begins
        self._rows: dict[str, dict[str, LedgerRow]] = {}
        self._lives: dict[str, int] = {}
        self.whole: dict[str, LedgerPage] = {}  # the last page of those who have told all

    def after(self, voter: str) -> str:
        """Where this voter's next page begins."""
        return self._after.get(voter, "")

    def question(self, voter: str, token: int, epoch: int) -> Tell:
        """What to ask a voter next, with a holder's token or none."""
        return Tell(voter, LedgerRead(DUTY, token, self.try_, self.after(voter), epoch))

    def questions(self, voters: list[str], token: int, epoch: int) -> list[Tell]:
        """The same, for those who have not told all."""
        return [self.question(voter, token, epoch) for voter in voters if voter not in self.whole]

    def forget(self, voter: str) -> None:
        """It has to be read again."""
        for kept in (self._after, self._rows, self._lives, self.whole):
            kept.pop(voter, None)

    def hear(self, page: LedgerPage, voter: str) -> bool:
        """A page; whether there is another one to ask this voter for."""
        if page.try_ != self.try_ or page.after != self.after(voter) or voter in self.whole:
            return False
        if self._lives.setdefault(voter, page.life) != page.life:
            self.forget(voter)
            return True
        rows = self._rows.setdefault(voter, {})
        for row in page.rows:
            newer(rows, row)
        if page.more and page.rows:
            self._after[voter] = page.rows[-1].key
            return True
        self.whole[voter] = page
        return False

    def result(self) -> tuple[int, int, bool, dict[str, LedgerRow]]:
        """The greatest base, the greatest token that was shown, whether rows may be lost, and the rows."""
        base = max(page.base for page in self.whole.values())
        shown = max(page.shown for page in self.whole.values())
        rows: dict[str, LedgerRow] = {}
        for voter, page in self.whole.items():
            if page.base == base:
                for row in self._rows.get(voter, {}).values():
                    newer(rows, row)
        return base, shown, any(page.lost for page in self.whole.values()), rows


class Keeper:
    """What one voter keeps.

    It has forgotten all when it starts. It asks the others which token was shown last: so many that one of
    each majority is among them. Then it waits for the whole base from a holder with no lower token, who by
    that knows that what the former life had stored or promised counts no more. Where too many have
    forgotten too it goes on with what the others have; then rows may be lost, and it says so.
    """

    def __init__(self, name: str, voters: list[str], life: int) -> None:
        self._name, self.life, self.epoch = name, life, 0
        self.elect(voters, 0)
        self._reading = Reading(life)
        self._blank: set[str] = set()  # others that have forgotten all themselves
        self.rows: dict[str, LedgerRow] = {}
        self.base = self.shown = 0
        self.ready = not self._others
        self.asks = not self.ready  # it does not know yet which token was shown last
        self.lost = False
        self._staged: dict[int, list[LedgerRow]] = {}
        self._staged_for = 0, 0
        self.refused = 0

    def elect(self, voters: list[str], epoch: int) -> None:
        """These vote from now on, this one among them."""
        self.epoch = epoch
        self._others = [voter for voter in voters if voter != self._name]
        self._enough = len(voters) - majority(len(voters)) + 1

    def ask(self) -> list[Tell]:
        """Questions to the others while it does not know what there was."""
        return self._reading.questions(self._others, 0, self.epoch) if self.asks else []

    def learn(self, page: LedgerPage, sender: str) -> list[Tell]:
        """Another voter's answer to that."""
        if not self.asks or sender not in self._others or page.try_ != self._reading.try_:
            return []
        if page.blank:
            self._blank.add(sender)
            self._reading.forget(sender)
        else:
            self._blank.discard(sender)
            if self._reading.hear(page, sender):
                return [self._reading.question(sender, 0, self.epoch)]
        known = {voter: page for voter, page in self._reading.whole.items() if voter in self._others}
        if len(known) >= self._enough:
            self.asks = False
            _, self.shown, _, _ = self._reading.result()
            self.ready = not self.shown  # nobody has ever held the ledger
        elif known.keys() | self._blank >= set(self._others):
            self.asks, self.ready = False, True
            if known:
                self.base, self.shown, self.lost, self.rows = self._reading.result()
                self.lost = self.lost or self.shown > 0  # else nobody has ever kept any
        return []

    def read(self, message: LedgerRead) -> LedgerPage | None:
        """A holder reads, who has a token; or a voter that has started anew, who has none."""
        if message.token:
            if not self.ready or message.token < self.shown:
                self.refused += message.token < self.shown
                return None
            self.shown = message.token
        rows, more = page_after(self.rows, message.after)
        return self._page(message.token, message.try_, message.after, rows, more)

    def _page(self, token: int, try_: int, after: str, rows: list[LedgerRow], more: bool) -> LedgerPage:
        return LedgerPage(
            DUTY, token, try_, after, self.base, self.shown, self.lost, not self.ready, rows, more, self.life
        )

    def write(self, message: LedgerWrite) -> LedgerStored | LedgerPage | None:
        """Rows of a new base, which replace all once they are whole; or more rows of the base.

        Whoever has started anew answers that it has, and needs the base.
        """
        if self.asks or message.token < self.shown:
            self.refused += message.token < self.shown
            return None
        self.shown = message.token
        if not self.ready and not (message.pages and message.life == self.life):
            return self._page(message.token, 0, "", [], False)
        if message.pages and (self.base != message.token or not self.ready):
            self._stage(message)
        elif self.base != message.token:
            return None  # what it builds on has not come yet
        for row in message.rows if not message.pages else ():
            newer(self.rows, row)
        return LedgerStored(DUTY, message.token, message.number, self.life)

    def _stage(self, message: LedgerWrite) -> None:
        sending = message.token, message.number - message.page  # pages of two sendings don't mix
        if self._staged_for != sending:
            self._staged, self._staged_for = {}, sending
        self._staged[message.page] = message.rows
        if len(self._staged) == message.pages:
            self.rows = {row.key: row for rows in self._staged.values() for row in rows}
            self.base, self.lost, self.ready = message.token, message.lost, True
            self._staged = {}


@dataclass(slots=True)
class _Write:
    """A message on its way to voters."""

    message: LedgerWrite
    to: list[str]
    wanted: int = 0  # the number of the call that it answers; 0: of none
    stored: set[str] = field(default_factory=set)

    def missing(self) -> list[str]:
        """Who has not said that it has it."""
        return [voter for voter in self.to if voter not in self.stored]


class Ledger:
    """The holder's part."""

    def __init__(self, voters: list[str], rng: random.Random) -> None:
        self._voters, self.epoch, self._rng = voters, 0, rng
        self.step, self.token, self.lost = IDLE, 0, False
        self.rows: dict[str, LedgerRow] = {}
        self._reading = Reading(0)
        self._number = self._seq = self._tick = self._ticks = 0
        self._wait_ms = TRY_MS
        self._writes: dict[int, _Write] = {}
        self._lives: dict[str, int] = {}  # of each voter, the latest that is known
        self._based: set[str] = set()  # voters that have the base, in the life in which they were read
        self._new: set[str] = set()  # voters since the base was made, who do not have it yet
        self.actions: list[Action] = []
        self.timer: Callable[[float, int], None] = lambda delay_ms, tick: None

    def majority(self) -> int:
        """How many voters have to have a row."""
        return majority(len(self._voters))

    def elect(self, voters: list[str], epoch: int) -> None:
        """These vote from now on. What is open goes on with them; new ones are given all there is."""
        new = set(voters) - set(self._voters)
        self._voters, self.epoch = voters, epoch
        if self.step in (READING, RESTORING):
            return self._read_all()
        self._new = (self._new | new) & set(voters)
        for number, write in list(self._writes.items()):
            write.to = [voter for voter in write.to if voter in voters]
            write.message = replace(write.message, epoch=epoch)  # the old one may be on its way
            self._progress(number, write)
        if self.step == OPEN:
            self._wait_ms = TRY_MS
            self._tick += 1
            self.fired(self._tick)

    def covered(self) -> bool:
        """Whether a majority of the voters has all that there is, under this tenure's base."""
        behind = self._new.union(*(write.missing() for write in self._writes.values()))
        return self.step == OPEN and len(set(self._voters) - behind) >= self.majority()

    def start(self, token: int) -> None:
        """The duty is this process's: read what there is."""
        self.token = token
        self._read_all()

    def stop(self) -> None:
        """It is another's: of what is under way it is not known whether it is kept."""
        self._tick += 1
        self.actions += [Settled(write.wanted, False) for write in self._writes.values() if write.wanted]
        self.step, self._writes = IDLE, {}

    def _read_all(self) -> None:
        """From the beginning: a promise that a voter forgot is none."""
        self.step, self.lost, self._wait_ms = READING, False, TRY_MS
        self.rows, self._writes, self._based, self._lives = {}, {}, set(), {}
        self._new = set()
        self._seq = self._ticks = 0
        self._reading = Reading(self._rng.getrandbits(31) + self._tick)
        self._tick += 1
        self._ask()

    def _ask(self) -> None:
        self.actions += self._reading.questions(self._voters, self.token, self.epoch)
        self.timer(TRY_MS, self._tick)

    def write(self, key: str, value: bytes, wanted: int) -> str:
        """Have a row kept; "" where it is on its way, else why not. `Settled(wanted)` says how it ended."""
        if self.step == IDLE:
            return "this process does not hold the ledger"
        if self.step != OPEN:
            return "the ledger is being read back from a majority of the voters"
        if not 0 < len(key.encode()) <= MOST_KEY or len(value) > MOST_VALUE:
            return f"a key has 1 to {MOST_KEY} bytes, a value {MOST_VALUE} at most"
        if key not in self.rows and len(self.rows) >= MOST_ROWS:
            return f"the ledger is full: it has {MOST_ROWS} rows"
        self._seq += 1
        row = self.rows[key] = LedgerRow(key, self.token, self._seq, value)
        self._wait_ms = TRY_MS
        self._send([row], 0, 0, self._voters, wanted)
        return ""

    def _send(
        self, rows: list[LedgerRow], page: int, of: int, to: list[str], wanted: int = 0, life: int = 0
    ) -> None:
        self._number += 1
        message = LedgerWrite(DUTY, self.token, self._number, page, of, self.lost, rows, life, self.epoch)
        self._writes[self._number] = _Write(message, list(to), wanted)
        self.actions.extend(Tell(voter, message) for voter in to)

    def _send_base(self, to: list[str], life: int = 0) -> None:
        parts = pages(list(self.rows.values()))
        for n, part in enumerate(parts):
            self._send(part, n, len(parts), to, life=life)

    def fired(self, tick: int) -> None:
        """Ask again whoever has not answered; and, now and then, whether all still know what there is."""
        if tick != self._tick:
            return
        if self.step == READING:
            return self._ask()
        self._ticks += 1
        if self.step == RESTORING and self._ticks > MOST_TICKS:
            return self._read_all()  # one that was read is gone: others are to be had
        for write in self._writes.values():
            self.actions.extend(Tell(voter, write.message) for voter in write.missing())
        if self.step == OPEN:
            look = LedgerWrite(DUTY, self.token, 0, 0, 0, self.lost, [], 0, self.epoch)
            self.actions.extend(Tell(voter, look) for voter in self._voters)
            self._wait_ms = min(MOST_TRY_MS, 2.0 * self._wait_ms)
        self.timer(self._wait_ms, self._tick)

    def hear(self, message: LedgerPage | LedgerStored, sender: str) -> None:
        """A voter's answer."""
        if sender not in self._voters or message.token != self.token or self.step == IDLE:
            return
        if isinstance(message, LedgerStored):
            return self._stored(message, sender)
        if message.blank:
            return self._anew(sender, message.life)
        if self.step != READING:
            return
        if self._reading.hear(message, sender):
            self.actions.append(self._reading.question(sender, self.token, self.epoch))
        elif len(self._reading.whole) >= self.majority():
            self._restore()

    def _anew(self, voter: str, life: int) -> None:
        """A voter has started anew: what its former life stored counts no more, and it needs all."""
        if self.step not in (RESTORING, OPEN):
            return
        self._lives[voter] = life
        for number, write in list(self._writes.items()):
            write.stored.discard(voter)
            if write.message.life and write.to == [voter] and write.message.life != life:
                del self._writes[number]
        if not any(write.message.life == life and write.to == [voter] for write in self._writes.values()):
            self._send_base([voter], life)

    def _restore(self) -> None:
        """A majority has been read: that is the new base."""
        _, _, self.lost, rows = self._reading.result()
        for n, row in enumerate(sorted(rows.values(), key=LedgerRow.stamp)):
            self.rows[row.key] = LedgerRow(row.key, self.token, n + 1, row.value)
        self._seq = len(self.rows)
        self.step = RESTORING
        self._tick += 1
        self._send_base(self._voters)
        self.timer(TRY_MS, self._tick)

    def _stored(self, message: LedgerStored, voter: str) -> None:
        write = self._writes.get(message.number)
        if write is None:
            return
        read = self._reading.whole.get(voter)
        if self.step == RESTORING and read is not None and read.life != message.life:
            return self._read_all()  # it has forgotten its promise, and may have taken older rows since
        if self._lives.setdefault(voter, message.life) != message.life:
            return  # a word of its former life that was held back
        write.stored.add(voter)
        if self.step == RESTORING and read is not None and self._has_base(voter):
            self._based.add(voter)
            if len(self._based) >= self.majority():
                self.step = OPEN
                self.actions.append(Opened(self.token, len(self.rows), self.lost))
        self._progress(message.number, write)

    def _progress(self, number: int, write: _Write) -> None:
        """A row is kept once a majority of those who vote now has it; a message is done once all have it."""
        if write.wanted and len(write.stored.intersection(self._voters)) >= self.majority():
            self.actions.append(Settled(write.wanted, True))
            write.wanted = 0
        if write.missing() or self.step != OPEN:
            return
        del self._writes[number]
        if write.message.life and not any(w.message.life and w.to == write.to for w in self._writes.values()):
            self._new.difference_update(write.to)

    def _has_base(self, voter: str) -> bool:
        parts = (write for write in self._writes.values() if write.message.pages and not write.message.life)
        return all(voter in write.stored for write in parts)
