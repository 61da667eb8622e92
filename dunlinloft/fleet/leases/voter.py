"""A voter: promises and accepts, in memory alone.

After PaxosLease (Trencseni, Gazso, Reinhardt 2012), acceptor. Who has started has forgotten what it
promised and accepted, so it takes no part until whatever that was has run out.
"""

from __future__ import annotations

from collections.abc import Sequence

from dunlinloft.fleet.leases.messages import (
    NONE,
    Accepted,
    Ballot,
    Lease,
    Message,
    Prepare,
    Promise,
    Propose,
    Recall,
    Recalled,
    Release,
    majority,
)

MOST_DUTIES = 256  # that are kept; a foreign flood of names is not


class _Slot:
    """What is kept of one duty."""

    __slots__ = ("ballot", "promised", "state", "token", "until_ms")

    def __init__(self) -> None:
        self.promised: Ballot = NONE
        self.ballot: Ballot = NONE
        self.until_ms = 0.0
        self.token, self.state = 0, b""


class Voter:
    """One voter's memory of all duties.

    It votes once two things are so. The longest lease has run out since its start, so that nothing it may
    have promised or accepted in a former life still counts. And it knows the tokens that were given: from
    so many of the others that one of each majority is among them; or from all others, where they have
    forgotten too (the whole fleet was started: then the wall's clock has to carry tokens on).
    """

    def __init__(
        self, name: str, voters: list[str], began_ms: float, longest_ms: float, drift: float
    ) -> None:
        self._name = name
        self._drift, self._longest_ms = drift, longest_ms
        self._silent_until = began_ms + longest_ms * (1.0 + drift)
        self._answers: dict[str, bool] = {}  # who of the others has answered, and whether it remembers
        self._tokens: dict[str, int] = {}
        self._slots: dict[str, _Slot] = {}
        self._remembered = False
        self.number = int(began_ms)  # of its question, so that no answer to a former life is taken
        self.elect(voters)

    def elect(self, voters: Sequence[str]) -> None:
        """These vote from now on, this one among them."""
        self._others = [other for other in voters if other != self._name]
        self._enough = len(voters) - majority(len(voters)) + 1
        self._answers = {name: knew for name, knew in self._answers.items() if name in self._others}
        self._recollect()

    def remembers(self) -> bool:
        """Whether it knows the tokens that were given."""
        return self._remembered

    def _recollect(self) -> None:
        """Once enough have answered it remembers, and a change of voters makes it forget nothing."""
        known = sum(self._answers.values())
        self._remembered |= known >= self._enough or len(self._answers) == len(self._others)

    def votes(self, now: float) -> bool:
        """Whether it takes part yet."""
        return now >= self._silent_until and self.remembers()

    def ask(self, epoch: int = 0) -> list[tuple[str, Message]]:
        """The question to those who have not answered; none where enough have."""
        if self.remembers():
            return []
        question = Recall("", self.number, epoch)
        return [(other, question) for other in self._others if not self._answers.get(other)]

    def learn(self, message: Recalled, sender: str) -> None:
        """Another voter's answer."""
        if message.number != self.number or sender not in self._others:
            return
        self._answers[sender] = message.remembers or self._answers.get(sender, False)
        self._recollect()
        self.know(message.tokens)

    def know(self, tokens: dict[str, int]) -> None:
        """These tokens were given."""
        for duty, token in tokens.items():
            self._tokens[duty] = max(self._tokens.get(duty, 0), token)
            if duty in self._slots:
                self._slots[duty].token = max(self._slots[duty].token, token)

    def tokens(self) -> dict[str, int]:
        """The greatest of each duty that this voter knows of."""
        return self._tokens | {
            duty: max(slot.token, self._tokens.get(duty, 0)) for duty, slot in self._slots.items()
        }

    def recall(self, message: Recall, epoch: int = 0) -> Recalled:
        """Tell another what there was."""
        return Recalled("", message.number, self.remembers(), self.tokens(), epoch)

    def hear(self, message: Prepare | Propose | Release, now: float) -> Message | None:
        """The answer to a candidate, whom its ballot names; if there is one."""
        if not self.votes(now):
            return None
        slot = self._slots.get(message.duty)
        if slot is None:
            if len(self._slots) >= MOST_DUTIES:
                return None
            slot = self._slots[message.duty] = _Slot()
            slot.token = self._tokens.get(message.duty, 0)
        match message:
            case Prepare():
                return self._prepare(slot, message, now)
            case Propose():
                return self._propose(slot, message, now)
            case Release() if slot.ballot[1:] == message.ballot[1:] and slot.ballot <= message.ballot:
                slot.until_ms = 0.0
                # Its renewal may still be on the way: whatever it asked by this ballot is over.
                round_, name, life = message.ballot
                slot.promised = max(slot.promised, (round_, name, life + 1))
                if message.token >= slot.token:
                    slot.token, slot.state = message.token, message.state
        return None

    def _prepare(self, slot: _Slot, message: Prepare, now: float) -> Promise:
        ok = message.ballot >= slot.promised  # its own again: the answer was lost
        if ok:
            slot.promised = message.ballot
        lease = None
        if slot.until_ms > now:
            lease = Lease(slot.ballot, slot.token, slot.until_ms - now)
        return Promise(message.duty, message.ballot, ok, slot.promised, lease, slot.token, slot.state)

    def _propose(self, slot: _Slot, message: Propose, now: float) -> Accepted:
        ok = message.ballot >= slot.promised and message.term_ms <= self._longest_ms
        if ok:
            slot.promised = slot.ballot = message.ballot
            # It may run slower than the holder's clock: the drift is added here, and subtracted there.
            slot.until_ms = now + message.term_ms * (1.0 + self._drift)
            if message.token >= slot.token:
                slot.token, slot.state = message.token, message.state
        return Accepted(message.duty, message.ballot, ok, slot.promised)
