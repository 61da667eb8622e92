"""All duties of one process: its vote, its candidacies, and who should stand when.

Who stands follows preference: fewest duties first, zones by turns, then an order of the duty's own
(rendezvous hashing, Thaler and Ravishankar 1998), the same at all that see the same members. A holder that
is there keeps its duty: nobody stands against it.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from dunlinloft.fleet import rendezvous
from dunlinloft.fleet.leases.candidate import DRIFT, TERM_MS, Candidate
from dunlinloft.fleet.leases.ledger import DUTY as LEDGER
from dunlinloft.fleet.leases.ledger import Keeper, Ledger
from dunlinloft.fleet.leases.messages import (
    Accepted,
    Action,
    Adopt,
    Adopted,
    Ballot,
    ChangeVoters,
    Elected,
    Enter,
    Event,
    HandOver,
    Heard,
    LedgerPage,
    LedgerRead,
    LedgerStored,
    LedgerWrite,
    Message,
    Opened,
    Prepare,
    Promise,
    Propose,
    Recall,
    Recalled,
    Release,
    Seen,
    SetTimer,
    Settled,
    Start,
    Stop,
    Tell,
    TimerFired,
    Voters,
    Work,
)
from dunlinloft.fleet.leases.voter import Voter
from dunlinloft.fleet.leases.voters import ROW, Change, Row, changed, read_row

LOOK_MS = 400.0  # how often it is looked at whether to stand
STAND_MS = 60.0  # the next in preference stands so much later: as a rule one tries at a time
MOST_STAND_MS = 1_200.0
LOOK, STAND = "look", "stand"


def order(duty: str, seen: Seen, place: int = 0) -> list[str]:
    """Members in the order in which they should hold a duty, the `place`-th of all.

    Those that hold fewest others come first; of these the zones take turns with the duties, so that the loss
    of one takes few; then by rendezvous hashing.
    """
    others = Counter(holder for other, (holder, _) in seen.claims.items() if other != duty)
    zones = sorted({seen.zones.get(name, "") for name in seen.here})

    def rank(name: str) -> tuple[int, int, bytes]:
        turn = (zones.index(seen.zones.get(name, "")) - place) % len(zones)
        return others[name], turn, rendezvous.rank(duty, name)

    return sorted(seen.here, key=rank)


class Duties:
    """One process's part in all duties of its fleet."""

    def __init__(
        self, name: str, life: int, voters: list[str], duties: list[str], rng: random.Random,
        wall_ms: Callable[[], int], now: float, term_ms: float = TERM_MS, drift: float = DRIFT,
    ) -> None:  # fmt: skip
        if len(set(voters)) < len(voters):
            raise ValueError(f"voters: {', '.join(voters)}: one is named twice")
        self.name, self.life, self._rng = name, life, rng
        self._term_ms, self._drift = term_ms, drift
        self.voters = Voters(0, tuple(voters))
        self.voter = Voter(name, voters, now, term_ms, drift) if name in voters else None
        self.candidates = {
            duty: Candidate(duty, name, life, voters, rng, wall_ms, term_ms, drift) for duty in duties
        }
        for duty, candidate in self.candidates.items():
            candidate.timer = partial(self._set_for, duty)
        # The ledger, if it is among the duties: what this process keeps as a voter, and writes as the holder.
        self._with_ledger = with_ledger = LEDGER in duties
        self.keeper = Keeper(name, voters, rng.getrandbits(31)) if with_ledger and name in voters else None
        self.ledger = Ledger(voters, rng) if with_ledger else None
        if self.ledger is not None:
            self.ledger.timer = self._set_ledger
        self.change = Change(rng, term_ms, drift)
        self._wanted: tuple[int, Row] | None = None  # a change of voters that is on its way to the ledger
        self._seen = Seen(frozenset((name,)), {})
        self._timers: dict[int, tuple[str, str, Ballot]] = {}
        self._token = 0
        self._standing: set[str] = set()
        self._actions: list[Action] = []

    def begin(self, now: float) -> list[Action]:
        """The process is up."""
        self._actions = []
        self._set(LOOK, "", (0, "", 0), LOOK_MS * self._rng.random())
        return self._actions

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event; what to do about it."""
        self._actions = []
        match event:
            case Heard():
                self._heard(event, now)
            case TimerFired():
                self._fired(event.token, now)
            case Seen():
                self._seen = event
                for duty, (_, token) in event.claims.items():
                    if duty in self.candidates:
                        self.candidates[duty].known = max(self.candidates[duty].known, token)
                if event.voters is not None:
                    self._adopt(event.voters, now)
                self._look(now)
            case HandOver():
                candidate = self.candidates.get(event.duty)
                if candidate is not None and event.to != self.name:
                    candidate.release(event.to, now)
                    self._take(candidate, now)
            case Enter():
                self._enter(event, now)
            case ChangeVoters():
                self._change(event, now)
            case Work() if event.duty in self.candidates:
                self.candidates[event.duty].state = event.state
        return self._actions

    def holds(self, duty: str, now: float) -> bool:
        """Whether the duty is this process's at this instant."""
        return duty in self.candidates and self.candidates[duty].holds(now)

    def _set_for(self, duty: str, what: str, delay_ms: float, ballot: Ballot) -> None:
        self._set(what, duty, ballot, delay_ms)

    def _set(self, what: str, duty: str, ballot: Ballot, delay_ms: float) -> None:
        self._token += 1
        self._timers[self._token] = what, duty, ballot
        self._actions.append(SetTimer(self._token, max(0.0, delay_ms)))

    def _set_ledger(self, delay_ms: float, tick: int) -> None:
        self._set(LEDGER, LEDGER, (tick, "", 0), delay_ms)

    def _take(self, candidate: Candidate, now: float) -> None:
        self._actions += candidate.actions
        if candidate.duty == LEDGER and self.ledger is not None:
            for action in candidate.actions:
                if isinstance(action, Start):
                    self.ledger.start(action.token)
                elif isinstance(action, Stop):
                    self.ledger.stop()
                    self.change.stop()
            self._take_ledger(now)
        candidate.actions = []

    def _take_ledger(self, now: float) -> None:
        actions: list[Action] = []
        if self.ledger is not None:
            actions, self.ledger.actions = self.ledger.actions, []
        self._actions += actions
        for action in actions:
            if isinstance(action, Opened):
                self._opened(now)
            elif isinstance(action, Settled) and self._wanted is not None:
                wanted, row = self._wanted
                if action.wanted == wanted:
                    self._wanted = None
                    if action.kept:
                        self._carry(row, now)

    # Who votes

    def _change(self, event: ChangeVoters, now: float) -> None:
        """Operators want one more voter or one fewer: the ledger decides it."""
        why = self.why_no_change(now)
        if not why:
            found = changed(self.voters, event.add, event.remove, self._seen.here)
            why = found if isinstance(found, str) else self._decide(found, event.wanted, now)
        if why:
            self._actions.append(Settled(event.wanted, False, why))

    def why_no_change(self, now: float) -> str:
        """Why the voters can't be changed here and now; "" where they can."""
        if self.ledger is None or not self.holds(LEDGER, now):
            return "this process does not hold the ledger"
        if self._wanted is not None:
            return "a change of voters is on its way"
        covered = self.ledger.covered()
        return "" if self.change.look(covered, now) else self.change.why(covered, now)

    def _decide(self, names: tuple[str, ...], wanted: int, now: float) -> str:
        """Enter a change into the ledger; "" or why not."""
        if self.ledger is None:
            return "there is no ledger"
        row = Row(self.voters.epoch + 1, self.voters.names, names)
        why = self.ledger.write(ROW, row.write(), wanted)
        if not why:
            self._wanted = wanted, row
            self._take_ledger(now)
        return why

    def _opened(self, now: float) -> None:
        """The ledger is ours and open: go on with the change that it tells of, wherever that stood."""
        ledger = self.ledger
        kept = ledger.rows.get(ROW) if ledger is not None else None
        row = read_row(kept.value) if kept is not None else None
        if row is not None and row.epoch >= self.voters.epoch:
            return self._carry(row, now)
        if self.voters.epoch and ledger is not None:  # the row was lost with a majority: what it said holds
            names = self.voters.names
            ledger.write(ROW, Row(self.voters.epoch, names, names).write(), 0)
            self._take_ledger(now)
        self._actions += self.change.begin(self.voters, self.voters.names)

    def _carry(self, row: Row, now: float) -> None:
        """A change is decided: adopt it here and have the voters do so."""
        self._adopt(Voters(row.epoch, row.names), now)
        self._actions += self.change.begin(Voters(row.epoch, row.names), row.before)

    def _adopt(self, voters: Voters, now: float) -> None:
        """These vote from now on, if that is news."""
        if voters.epoch <= self.voters.epoch:
            return
        self.voters, names = voters, list(voters.names)
        if self.name not in names:
            self.voter = self.keeper = None
        elif self.voter is None:
            # As one that has just started: it takes no part until it knows what there was.
            self.voter = Voter(self.name, names, now, self._term_ms, self._drift)
            self.keeper = Keeper(self.name, names, self._rng.getrandbits(31)) if self._with_ledger else None
        else:
            self.voter.elect(names)
        if self.keeper is not None:
            self.keeper.elect(names, voters.epoch)
        for candidate in self.candidates.values():
            candidate.elect(names, voters.epoch, now)
            self._take(candidate, now)
        if self.ledger is not None:
            self.ledger.elect(names, voters.epoch)
            self._take_ledger(now)
        self._actions.append(Elected(voters))

    def _about_voters(self, message: Adopt | Adopted, sender: str, now: float) -> None:
        if isinstance(message, Adopted):
            if self.holds(LEDGER, now):
                self._actions += self.change.hear(message, sender, now)
            return
        self._adopt(message.voters, now)
        if message.voters.epoch < self.voters.epoch:
            self._actions.append(Tell(sender, Adopt("", self.voters)))
        elif message.number:
            if self.voter is not None:
                self.voter.know(message.tokens)
            remembers = self.voter is None or self.voter.remembers()
            tokens = self.voter.tokens() if self.voter is not None else {}
            answer = Adopted("", self.voters.epoch, message.number, remembers, tokens, self.life)
            self._actions.append(Tell(sender, answer))

    def _enter(self, event: Enter, now: float) -> None:
        """A row for the ledger: only who holds it at this instant may begin to write."""
        why = "this process does not hold the ledger"
        if self.ledger is not None and self.holds(LEDGER, now):
            why = self.ledger.write(event.key, event.value, event.wanted)
            self._take_ledger(now)
        if why:
            self._actions.append(Settled(event.wanted, False, why))

    def _about_ledger(self, message: Message, sender: str, now: float) -> None:
        answer: Message | None = None
        match message:
            case LedgerRead() if self.keeper is not None:
                answer = self.keeper.read(message)
            case LedgerWrite() if self.keeper is not None:
                answer = self.keeper.write(message)
            case LedgerPage() if not message.token and self.keeper is not None:
                self._actions += self.keeper.learn(message, sender)
            case LedgerPage() | LedgerStored() if self.ledger is not None and self.holds(LEDGER, now):
                self.ledger.hear(message, sender)
                self._take_ledger(now)
        if answer is not None:
            self._actions.append(Tell(sender, answer))

    def _heard(self, event: Heard, now: float) -> None:
        message = event.message
        candidate = self.candidates.get(message.duty)
        if isinstance(message, Adopt | Adopted):
            return self._about_voters(message, event.sender, now)
        if isinstance(message, Prepare | Propose | LedgerRead | LedgerWrite) and (
            message.epoch != self.voters.epoch
        ):
            # Whoever is behind learns of it and asks again; if that is this process it is told what it lacks.
            self._actions.append(Tell(event.sender, Adopt("", self.voters)))
            return
        if isinstance(message, LedgerRead | LedgerPage | LedgerWrite | LedgerStored):
            return self._about_ledger(message, event.sender, now)
        if isinstance(message, Recall | Recalled):
            return self._recollect(message, event.sender)
        if isinstance(message, Promise | Accepted):
            if candidate is not None:
                candidate.hear(message, event.sender, now)
                self._take(candidate, now)
            return
        if self.voter is not None:
            answer = self.voter.hear(message, now)
            if answer is not None:
                self._actions.append(Tell(event.sender, answer))
        wanted = isinstance(message, Release) and message.to == self.name
        if wanted and candidate is not None:
            candidate.summon(now)
            self._take(candidate, now)

    def _recollect(self, message: Recall | Recalled, sender: str) -> None:
        """Voters tell each other which tokens there were."""
        if message.epoch != self.voters.epoch:
            self._actions.append(Tell(sender, Adopt("", self.voters)))
            if isinstance(message, Recall) or message.epoch > self.voters.epoch:
                return  # it is asked again, by whoever knows better by then
        if self.voter is None:
            return
        if isinstance(message, Recall):
            self._actions.append(Tell(sender, self.voter.recall(message, self.voters.epoch)))
        else:
            self.voter.learn(message, sender)

    def _fired(self, token: int, now: float) -> None:
        what, duty, ballot = self._timers.pop(token, ("", "", (0, "", 0)))
        if what == LOOK:
            if self.voter is not None:
                self._actions += [Tell(*question) for question in self.voter.ask(self.voters.epoch)]
            if self.keeper is not None:
                self._actions += self.keeper.ask()
            if self.holds(LEDGER, now):
                self._actions += self.change.ask()
            self._look(now)
            self._set(LOOK, "", ballot, LOOK_MS * (0.8 + 0.4 * self._rng.random()))
        elif what == LEDGER:
            if self.ledger is not None and self.holds(LEDGER, now):
                self.ledger.fired(ballot[0])
                self._take_ledger(now)
        elif what == STAND:
            self._standing.discard(duty)
            candidate = self.candidates[duty]
            if self._vacant(duty) and not candidate.rests(now) and self._seen.well:
                candidate.attempt(now)
                self._take(candidate, now)
        elif duty in self.candidates:
            self.candidates[duty].fired(what, ballot, now)
            self._take(self.candidates[duty], now)

    def _vacant(self, duty: str) -> bool:
        """Whether nobody who is there says that it holds the duty."""
        claim = self._seen.claims.get(duty)
        return claim is None or claim[0] == self.name or claim[0] not in self._seen.here

    def _look(self, now: float) -> None:
        """Stand for what nobody holds, each in its turn."""
        if not self._seen.well:
            return
        for place, (duty, candidate) in enumerate(sorted(self.candidates.items())):
            if duty in self._standing or candidate.rests(now) or not self._vacant(duty):
                continue
            here = self.name in self._seen.here
            rank = order(duty, self._seen, place).index(self.name) if here else 0
            self._standing.add(duty)
            wait = min(MOST_STAND_MS, rank * STAND_MS)
            self._set(STAND, duty, (0, "", 0), wait * (0.9 + 0.2 * self._rng.random()))
