"""A candidate for one duty: tries for the lease, renews it, and stops before it ends.

After PaxosLease, proposer. Its time counts from before its proposal is sent, by its own clock and with the
drift subtracted, so it ends here before it ends at any voter.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dunlinloft.fleet.leases.messages import (
    NONE,
    Accepted,
    Action,
    Ballot,
    Lease,
    Message,
    Prepare,
    Promise,
    Propose,
    Release,
    Start,
    Stop,
    Tell,
    majority,
)

TERM_MS, DRIFT = 3_000.0, 0.02
RENEW_SHARE = 0.4  # of the term, after which it is renewed, less some jitter
STOP_MS = 50.0  # before the lease's end the work is stopped
TRY_MS, MOST_TRIES = 80.0, 2  # for answers to a step, across zones 7 to 13 ms; how often it is put again
BACK_OFF_MS, MOST_BACK_OFF_MS = 60.0, 1_500.0  # between tries, doubling, with jitter
RENEW_AGAIN_MS = 150.0  # at most between tries to renew
REST_MS = 500.0  # who has lost a duty does not try at once
HANDED_MS = 5_000.0  # who has handed it over leaves it to others for so long
IDLE, PREPARING, PROPOSING = "idle", "preparing", "proposing"
SUMMONED_MS, AGAIN_MS = 1_000.0, 10.0  # how long one that is handed a duty tries with hardly a rest
RENEW, AGAIN, END = "renew", "again", "end"


class Candidate:
    """One process's part in one duty."""

    def __init__(
        self, duty: str, name: str, life: int, voters: list[str], rng: random.Random,
        wall_ms: Callable[[], int], term_ms: float = TERM_MS, drift: float = DRIFT,
    ) -> None:  # fmt: skip
        self.duty, self._name, self._life, self._voters, self._rng = duty, name, life, voters, rng
        self.epoch = 0  # of the voters
        self._wall_ms, self._term_ms, self._drift = wall_ms, term_ms, drift
        self.step, self.ballot = IDLE, NONE
        self._round = 0
        self._asked: Prepare | Propose = Prepare(duty, NONE)
        self._tries = 0
        self._promises: dict[str, Promise] = {}
        self._accepted: set[str] = set()
        self._sent_ms = 0.0
        self.until_ms = 0.0  # of the own clock; held while it is not over
        self.token = self._proposed = 0
        self.known = 0  # the greatest token that others were seen to have
        self.state = b""
        self.held = False
        self._back_off = BACK_OFF_MS
        self._rest_ms = 0.0  # no try before then
        self._summoned_ms = -1e18
        self.why = "it has not been tried for"
        self.actions: list[Action] = []
        self.timer: Callable[[str, float, Ballot], None] = lambda what, delay_ms, ballot: None

    def majority(self) -> int:
        """How many voters have to agree."""
        return majority(len(self._voters))

    def elect(self, voters: list[str], epoch: int, now: float) -> None:
        """Others vote from now on: a try that is under way counted majorities of the old ones."""
        self._voters, self.epoch = voters, epoch
        if self.step != IDLE:
            self.why = "the voters have changed"
            self._fail(0.0, now)

    def holds(self, now: float) -> bool:
        """Whether the duty is this process's at this instant: asked before each act."""
        return self.held and now < self.until_ms - STOP_MS

    # Trying

    def attempt(self, now: float) -> None:
        """Ask all voters whether a try is in order: for the lease, or for more of it."""
        self._round += 1
        self.ballot = (self._round, self._name, self._life)
        self.step = PREPARING
        self._promises.clear()
        self._accepted.clear()
        self._asked = Prepare(self.duty, self.ballot, self.epoch)
        self._ask()

    def _ask(self) -> None:
        """Put the question of this step, and have it put again to whoever has not answered."""
        self._tries = 0
        self._say(self._asked)
        self.timer(self.step, TRY_MS, self.ballot)

    def _ask_again(self) -> None:
        answered = self._promises if self.step == PREPARING else self._accepted
        self._tries += 1
        self.actions.extend(Tell(voter, self._asked) for voter in self._voters if voter not in answered)
        self.timer(self.step, TRY_MS, self.ballot)

    def rests(self, now: float) -> bool:
        """Whether it is not to try for the duty now."""
        return self.held or self.step != IDLE or now < self._rest_ms

    def summon(self, now: float) -> None:
        """The holder gives it to us: try at once, and again while voters have not heard of that yet."""
        if not self.held and self.step == IDLE:
            self._summoned_ms = now
            self.attempt(now)

    def rest(self, for_ms: float, now: float) -> None:
        """Don't try for so long."""
        self._rest_ms = max(self._rest_ms, now + for_ms)

    def hear(self, message: Promise | Accepted, sender: str, now: float) -> None:
        """A voter's answer."""
        if message.ballot != self.ballot or sender not in self._voters:
            return
        match message:
            case Promise() if self.step == PREPARING:
                self._promised(message, sender, now)
            case Accepted() if self.step == PROPOSING:
                self._agreed(message, sender, now)

    def _promised(self, message: Promise, sender: str, now: float) -> None:
        if not message.ok:
            return self._beaten(message.promised, now)
        self._promises[sender] = message
        if len(self._promises) < self.majority():
            return
        foreign = [p.lease for p in self._promises.values() if p.lease is not None and not self._own(p.lease)]
        if foreign:
            left = max(lease.left_ms for lease in foreign)
            self.why = f"{foreign[0].ballot[1]} holds it for {left:.0f} ms more"
            self._back_off = BACK_OFF_MS / 2.0  # nobody is in the way: there is only something to wait for
            return self._fail(left * (1.0 + self._drift) + BACK_OFF_MS * self._rng.random(), now)
        latest = max(self._promises.values(), key=lambda promise: promise.token)
        if not self.held:
            # Beyond all that a majority has seen; after all have forgotten, the wall's clock is what is left.
            self._proposed = max(latest.token + 1, self.known + 1, self._wall_ms())
            self.state = latest.state
        self.step, self._sent_ms = PROPOSING, now
        self._asked = Propose(self.duty, self.ballot, self._term_ms, self._proposed, self.state, self.epoch)
        self._ask()

    def _own(self, lease: Lease) -> bool:
        """A lease of ours is no obstacle: this life's alone, as a former one may still be at work."""
        return lease.ballot[1:] == (self._name, self._life)

    def _agreed(self, message: Accepted, sender: str, now: float) -> None:
        if not message.ok:
            return self._beaten(message.promised, now)
        self._accepted.add(sender)
        if len(self._accepted) < self.majority():
            return
        self.step = IDLE
        until = self._sent_ms + self._term_ms * (1.0 - self._drift)
        if now >= until - STOP_MS:  # the answers came too late to be of use
            return self._fail(BACK_OFF_MS, now)
        self.until_ms, self._back_off = until, BACK_OFF_MS
        self.timer(END, until - STOP_MS - now, self.ballot)
        self.timer(RENEW, self._term_ms * RENEW_SHARE * (0.8 + 0.4 * self._rng.random()), self.ballot)
        if not self.held:
            self.held, self.token, self.why = True, self._proposed, ""
            self.actions.append(Start(self.duty, self.token, self.state))

    def _beaten(self, promised: Ballot, now: float) -> None:
        """A voter has promised another: try beyond that, some time later."""
        self._round = max(self._round, promised[0])
        self.why = f"{promised[1]} tries for it too"
        self._fail(0.0, now)

    def _fail(self, wait_ms: float, now: float) -> None:
        """This try is over; with jitter and doubling waits, so that many candidates part."""
        self.step = IDLE
        if not self.held and now - self._summoned_ms < SUMMONED_MS:
            # Its voters may not have heard yet that it was given back, or have promised the old holder more.
            self.timer(AGAIN, AGAIN_MS * (0.5 + self._rng.random()), self.ballot)
            return
        self._back_off = min(MOST_BACK_OFF_MS, 2.0 * self._back_off)
        wait = max(wait_ms, self._back_off * (0.5 + self._rng.random()))
        if self.held:  # a renewal: what is left of the lease is time to try again
            self.timer(RENEW, min(wait, RENEW_AGAIN_MS), self.ballot)
        else:
            self._rest_ms = now + wait

    # Time

    def fired(self, what: str, ballot: Ballot, now: float) -> None:
        """A timer of this duty has come due; it is about the try that it was set in."""
        if what == END:
            if self.held and now >= self.until_ms - STOP_MS:
                self.stop("its lease could not be renewed", now)
        elif ballot != self.ballot:
            return
        elif what == self.step and self._tries < MOST_TRIES:
            self._ask_again()
        elif what == self.step:
            heard = len(self._promises) if self.step == PREPARING else len(self._accepted)
            self.why = f"{heard} of {len(self._voters)} voters answer, and {self.majority()} are needed"
            self._fail(0.0, now)
        elif (what == AGAIN and not self.held and self.step == IDLE) or (
            what == RENEW and self.held and self.step == IDLE
        ):
            self.attempt(now)

    # Ending

    def stop(self, why: str, now: float) -> None:
        """Hold it no more, and say so to whoever does the work."""
        self.held, self.step, self.why = False, IDLE, why
        self.actions.append(Stop(self.duty, self.token, why))
        self.rest(REST_MS * (0.5 + self._rng.random()), now)

    def release(self, to: str, now: float) -> None:
        """Give it back before its time: first the work stops, then the voters hear of it."""
        if not self.held:
            return
        ballot, token = self.ballot, self.token
        self.stop(f"handed over to {to or 'whoever is next'}", now)
        self.rest(HANDED_MS, now)
        message = Release(self.duty, ballot, to, token, self.state)
        self._say(message)
        if to and to not in self._voters:
            self.actions.append(Tell(to, message))

    def _say(self, message: Message) -> None:
        self.actions.extend(Tell(voter, message) for voter in self._voters)
