"""Who votes, changed by one member at a time while the fleet runs.

As in the single-server changes of Raft (Ongaro 2014, chapter 4): majorities of two sets that differ by one
member always meet. Which set follows which is decided by a row of the ledger. Once that is kept, its holder
has the voters adopt the set; whoever has adopted it refuses what is asked of an older one.

The next change may begin only when nothing rests on the set before last any more:

1. a majority of the old voters and one of the new have adopted the new set, and then say so again in the
   same lives: there was an instant at which all of them knew it. So no majority of the old can be had, and
   one that starts anew finds somebody who knows, whoever of a majority it asks;
2. with their second answer they have taken the tokens that they knew by the first: tokens go on rising;
3. the longest lease has passed since: what the old ones gave has ended, or was renewed by the new;
4. a majority of the new ones has the whole ledger.
"""

from __future__ import annotations

import random
from collections.abc import Collection

import msgspec

from dunlinloft.fleet.leases.messages import Adopt, Adopted, Tell, Voters, majority

ROW = "voters"  # its key in the ledger
LEAST, MOST = 3, 7
IDLE, ADOPTING, TELLING, RESTING, SETTLED = "idle", "adopting", "telling", "resting", "settled"


class Row(msgspec.Struct, frozen=True):
    """What the ledger keeps of the latest change."""

    epoch: int
    before: tuple[str, ...]
    names: tuple[str, ...]

    def write(self) -> bytes:
        """As the ledger's value."""
        return msgspec.json.encode(self)


def read_row(value: bytes) -> Row | None:
    """The row that a value is, if it is one."""
    try:
        return msgspec.json.decode(value, type=Row)
    except msgspec.DecodeError:
        return None


def changed(voters: Voters, add: str, remove: str, here: Collection[str]) -> tuple[str, ...] | str:
    """The voters' names with one more or one fewer; or why that can't be."""
    if bool(add) == bool(remove):
        return "one voter is added or removed at a time"
    if add in voters.names:
        return f"{add} is a voter already"
    if add and add not in here:
        return f"{add} is no member that is there"
    if remove and remove not in voters.names:
        return f"{remove} is no voter"
    names = tuple(name for name in (*voters.names, add) if name and name != remove)
    if not LEAST <= len(names) <= MOST:
        return f"there would be {len(names)} voters; {LEAST} to {MOST} are possible"
    there = sum(name in here for name in names)
    if there < majority(len(names)):
        return f"{there} of {len(names)} voters would be there, and {majority(len(names))} are needed"
    return names


class Change:
    """The part of whoever holds the ledger: sees a change through, and says when the next may begin."""

    def __init__(self, rng: random.Random, term_ms: float, drift: float) -> None:
        self._rng, self._rest_ms = rng, term_ms * (1.0 + 2.0 * drift)
        self.step = IDLE
        self._voters = Voters(0, ())
        self._before: tuple[str, ...] = ()
        self._number = 0
        self._answered: set[str] = set()
        self._lives: dict[str, int] = {}  # of those who answered first
        self._tokens: dict[str, int] = {}
        self._until_ms = 0.0

    def begin(self, voters: Voters, before: tuple[str, ...]) -> list[Tell]:
        """These vote, by a row that is kept; how far a former holder of the ledger got is not known."""
        self._voters, self._before, self._tokens, self._lives = voters, before, {}, {}
        return self._ask(ADOPTING if voters.epoch else SETTLED)

    def stop(self) -> None:
        """The ledger is another's."""
        self.step = IDLE

    def _ask(self, step: str) -> list[Tell]:
        self.step, self._answered = step, set()
        self._number = 1 + self._rng.getrandbits(31)
        return self.ask()

    def ask(self) -> list[Tell]:
        """The question of this step, to those who have not answered."""
        if self.step not in (ADOPTING, TELLING):
            return []
        question = Adopt("", self._voters, self._number, self._tokens if self.step == TELLING else {})
        return [Tell(name, question) for name in self._asked() if name not in self._answered]

    def _asked(self) -> list[str]:
        return [*self._voters.names, *(name for name in self._before if name not in self._voters.names)]

    def hear(self, message: Adopted, sender: str, now: float) -> list[Tell]:
        """A voter's answer; one that has forgotten what there was does not count yet."""
        if message.number != self._number or message.epoch != self._voters.epoch:
            return []
        if self.step not in (ADOPTING, TELLING) or not message.remembers:
            return []
        if self.step == ADOPTING:
            self._lives[sender] = message.life
            for duty, token in message.tokens.items():
                self._tokens[duty] = max(self._tokens.get(duty, 0), token)
        elif self._lives.get(sender, message.life) != message.life:
            return self.begin(self._voters, self._before)  # it has forgotten meanwhile: from the beginning
        if sender in self._lives:
            self._answered.add(sender)
        if not (self._have(self._voters.names) and self._have(self._before)):
            return []
        if self.step == ADOPTING:
            return self._ask(TELLING)
        self.step, self._until_ms = RESTING, now + self._rest_ms
        return []

    def _have(self, names: tuple[str, ...]) -> bool:
        return len(self._answered.intersection(names)) >= majority(len(names))

    def look(self, covered: bool, now: float) -> bool:
        """Whether the next change may begin; `covered`: a majority of the voters has the whole ledger."""
        if self.step == RESTING and covered and now >= self._until_ms:
            self.step = SETTLED
        return self.step == SETTLED

    def why(self, covered: bool, now: float) -> str:
        """What it still waits for; "" for nothing."""
        heard = len(self._answered.intersection(self._voters.names))
        count = f"{heard} of {len(self._voters.names)} voters"
        match self.step:
            case "idle":
                return "the ledger is not open here"
            case "adopting":
                return f"{count} have adopted change {self._voters.epoch}"
            case "telling":
                return f"{count} have said again that they have adopted change {self._voters.epoch}"
            case "resting" if now < self._until_ms:
                left = (self._until_ms - now) / 1000.0
                return f"leases by the voters before change {self._voters.epoch} last {left:.1f} s more"
            case "resting" if not covered:
                return "no majority of the voters has the whole ledger yet"
        return ""
