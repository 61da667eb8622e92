"""Changes of the voter set while the fleet runs, one member at a time.

As in the single-server changes of Raft (Ongaro 2014, chapter 4), majorities of two sets that differ by one
member always overlap. A row of the state table determines the next set. Once the row is committed, the
table's primary has the voters adopt the set, and voters that have adopted it reject requests of an older
epoch.

The next change may begin only when nothing depends any more on the set that the latest change replaced:

1. A majority of the old voters and a majority of the new voters have adopted the new set and confirmed this
   in the same incarnations, so there was an instant at which all of them knew it. Therefore no majority of
   the old set can form, and a restarted voter finds a voter that knows the new set in whichever majority it
   queries.
2. With the confirmation they have merged the tokens that were known at the first acknowledgement, so tokens
   keep increasing.
3. The longest lease term has passed since, so leases granted by the old voters have expired or were renewed
   by the new ones.
4. A majority of the new voters has the complete state table.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from enum import StrEnum

import msgspec

from dunlinloft.fleet.leases.messages import SendMessage, VoterSet, VoterSetAck, VoterSetUpdate, majority

VOTERS_KEY = "voters"  # key of the state table's row that contains the latest change
MIN_VOTERS = 3  # fewer tolerate no failure of a voter
MAX_VOTERS = 7


class VoterChangeStep(StrEnum):
    """The step of the latest change, on the state table's primary."""

    IDLE = "idle"  # this process is not the primary
    ADOPTING = "adopting"  # waits for the first acknowledgements
    CONFIRMING = "telling"  # waits for confirmations, which include tokens
    EXPIRING = "resting"  # waits for the old voters' leases to expire
    COMPLETE = "settled"  # the next change may begin


class VoterChangeRejected(Exception):
    """A change of voters that was rejected; the text is the reason, for operators."""


class VoterRow(msgspec.Struct, frozen=True, rename={"previous_names": "before"}):
    """The state table's row of the latest change, encoded as JSON."""

    epoch: int
    previous_names: tuple[str, ...]
    names: tuple[str, ...]

    def encode(self) -> bytes:
        """Encode as a row's value."""
        return msgspec.json.encode(self)


def decode_voter_row(value: bytes) -> VoterRow | None:
    """Decode a row's value; None if it is malformed."""
    try:
        return msgspec.json.decode(value, type=VoterRow)
    except msgspec.DecodeError:
        return None


def next_voters(voters: VoterSet, add: str, remove: str, alive: Collection[str]) -> tuple[str, ...]:
    """Return the voters' names with one added or one removed; raises `VoterChangeRejected`.

    `alive` contains the live members: without a majority of live voters, the new set could not decide
    anything.
    """
    if bool(add) == bool(remove):
        raise VoterChangeRejected("one voter is added or removed at a time")
    if add in voters.names:
        raise VoterChangeRejected(f"{add} is a voter already")
    if add and add not in alive:
        raise VoterChangeRejected(f"{add} is not a live member")
    if remove and remove not in voters.names:
        raise VoterChangeRejected(f"{remove} is no voter")
    names = tuple(name for name in (*voters.names, add) if name and name != remove)
    if not MIN_VOTERS <= len(names) <= MAX_VOTERS:
        raise VoterChangeRejected(
            f"the change would result in {len(names)} voters; {MIN_VOTERS} to {MAX_VOTERS} are allowed"
        )
    present = sum(name in alive for name in names)
    if present < majority(len(names)):
        raise VoterChangeRejected(
            f"{present} of {len(names)} voters would be alive, and {majority(len(names))} are needed"
        )
    return names


class VoterChange:
    """Completes a change on the state table's primary, and determines when the next may begin.

    `term_ms` is the longest lease term, `drift` the maximum relative difference of two clocks' rates.
    """

    def __init__(self, rng: random.Random, term_ms: float, drift: float) -> None:
        self._rng = rng
        self._expiry_wait_ms = term_ms * (1.0 + 2.0 * drift)
        self.step = VoterChangeStep.IDLE
        self._voters = VoterSet(0, ())
        self._previous_names: tuple[str, ...] = ()
        self._request_id = 0
        self._acknowledged_by: set[str] = set()  # in the current step
        self._incarnations: dict[str, int] = {}  # of the voters at their first acknowledgement
        self._tokens: dict[str, int] = {}
        self._expired_at_ms = 0.0

    def begin(self, voters: VoterSet, previous_names: tuple[str, ...]) -> list[SendMessage]:
        """Have a committed voter set adopted.

        Starts with the first step, as the progress made by a former primary is unknown.
        """
        self._voters = voters
        self._previous_names = previous_names
        self._tokens = {}
        self._incarnations = {}
        return self._enter(VoterChangeStep.ADOPTING if voters.epoch else VoterChangeStep.COMPLETE)

    def stop(self) -> None:
        """Stop, as this process is no longer the primary."""
        self.step = VoterChangeStep.IDLE

    def _enter(self, step: VoterChangeStep) -> list[SendMessage]:
        self.step = step
        self._acknowledged_by = set()
        self._request_id = 1 + self._rng.getrandbits(31)
        return self.requests()

    def requests(self) -> list[SendMessage]:
        """Return this step's requests to the voters that have not acknowledged them."""
        if self.step not in (VoterChangeStep.ADOPTING, VoterChangeStep.CONFIRMING):
            return []
        tokens = self._tokens if self.step is VoterChangeStep.CONFIRMING else {}
        update = VoterSetUpdate("", self._voters, self._request_id, tokens)
        return [SendMessage(name, update) for name in self._all_names() if name not in self._acknowledged_by]

    def _all_names(self) -> list[str]:
        names = self._voters.names
        return [*names, *(name for name in self._previous_names if name not in names)]

    def handle_ack(self, message: VoterSetAck, sender: str, now: float) -> list[SendMessage]:
        """Handle a voter's acknowledgement, which does not count until the voter has recovered its memory."""
        if message.request_id != self._request_id or message.voters_epoch != self._voters.epoch:
            return []
        if self.step not in (VoterChangeStep.ADOPTING, VoterChangeStep.CONFIRMING) or not message.recovered:
            return []
        if self.step is VoterChangeStep.ADOPTING:
            self._incarnations[sender] = message.incarnation
            for role, token in message.tokens.items():
                self._tokens[role] = max(self._tokens.get(role, 0), token)
        elif self._incarnations.get(sender, message.incarnation) != message.incarnation:
            # The voter has lost its memory since, so the first acknowledgements are void: start over.
            return self.begin(self._voters, self._previous_names)
        if sender in self._incarnations:
            self._acknowledged_by.add(sender)
        if not (self._has_majority(self._voters.names) and self._has_majority(self._previous_names)):
            return []
        if self.step is VoterChangeStep.ADOPTING:
            return self._enter(VoterChangeStep.CONFIRMING)
        self.step = VoterChangeStep.EXPIRING
        self._expired_at_ms = now + self._expiry_wait_ms
        return []

    def _has_majority(self, names: tuple[str, ...]) -> bool:
        return len(self._acknowledged_by.intersection(names)) >= majority(len(names))

    def check_complete(self, table_complete: bool, now: float) -> bool:
        """Return whether the next change may begin; `table_complete`: a majority of voters has all rows."""
        if self.step is VoterChangeStep.EXPIRING and table_complete and now >= self._expired_at_ms:
            self.step = VoterChangeStep.COMPLETE
        return self.step is VoterChangeStep.COMPLETE

    def waiting_for(self, table_complete: bool, now: float) -> str:
        """Return the condition that is not met yet, for operators; empty if the next change may begin."""
        count = len(self._acknowledged_by.intersection(self._voters.names))
        progress = f"{count} of {len(self._voters.names)} voters"
        match self.step:
            case VoterChangeStep.IDLE:
                return "the ledger is not open on this process"
            case VoterChangeStep.ADOPTING:
                return f"{progress} have adopted change {self._voters.epoch}"
            case VoterChangeStep.CONFIRMING:
                return f"{progress} have confirmed the adoption of change {self._voters.epoch}"
            case VoterChangeStep.EXPIRING if now < self._expired_at_ms:
                left_s = (self._expired_at_ms - now) / 1000.0
                return f"leases by the voters before change {self._voters.epoch} last {left_s:.1f} s more"
            case VoterChangeStep.EXPIRING if not table_complete:
                return "no majority of the voters has a complete copy of the ledger yet"
        return ""
