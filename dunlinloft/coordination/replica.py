"""A replica of the control plane: agreed views, the chain, and the operator's calls, as one state machine.

Hand it messages, ticks and `persisted`; do what it says, in order. Times are in milliseconds of a steady
clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dunlinloft.coordination.actions import Action, Commit, Persist, Send
from dunlinloft.coordination.agreement import Proposal, majority_of
from dunlinloft.coordination.calls import Calls, Validate
from dunlinloft.coordination.chain import ChainLink
from dunlinloft.coordination.liveness import Liveness
from dunlinloft.coordination.membership import Observation, wanted_view
from dunlinloft.coordination.messages import (
    Accept,
    Accepted,
    AcceptRecord,
    Answer,
    Append,
    Ask,
    Ballot,
    Committed,
    Confirm,
    Confirmed,
    Decided,
    Denied,
    Durable,
    Have,
    Install,
    Member,
    Offer,
    Order,
    Ping,
    Prepare,
    Promise,
    PromiseRecord,
    Record,
    ReplicaMessage,
    View,
    ViewRecord,
)

PING_MS = 150.0
PROPOSE_AFTER_MS = 100.0  # a difference that lasts so long is proposed by the first replica alive,
PROPOSE_STEP_MS = 700.0  # and by each further one so much later
START_MS = 800.0  # after its start, others that start too are given so long before they count as down
PROPOSAL_MS = 500.0  # a ballot that isn't through by then is given up
PROPOSAL_JITTER_MS = 200.0
DISK_MS = 300.0  # a write that takes longer shows a disk in trouble
HELD_MOST = 4_096  # addresses known at most

FIRST_INCARNATION = "0"  # of all replicas at the first start, so that all know the first view


def first_view(addresses: tuple[str, ...]) -> View:
    """The view that all replicas named by the seeds begin with, at the first start of all."""
    members = tuple(Member(address, FIRST_INCARNATION) for address in sorted(addresses))
    return View(1, members, members, len(members))


class Replica:
    """One replica. `counts` says whether it may vote and hold state; others pass calls on."""

    def __init__(
        self,
        me: Member,
        counts: bool,
        durable: Durable,
        seeds: tuple[str, ...],
        tolerance: int,
        validate: Validate,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        self.me = me
        self._counts = counts
        self._durable = durable
        self._seeds = seeds
        self._tolerance = tolerance
        self._rng = rng
        self._life = f"{rng.getrandbits(32):08x}"
        self._actions: list[Action] = []
        self._waiting: dict[int, tuple[float, Callable[[], None]]] = {}
        self._token = 0
        self._now = self._started_ms = now_ms
        self.view = durable.view
        self._promised = durable.promised
        self._accepted = durable.accepted
        self.liveness = Liveness(me)
        self.known: set[str] = set()
        self._entered_ms = now_ms
        self._proposal: Proposal | None = None
        self._quiet_until_ms = 0.0
        self._differs_since_ms: float | None = None
        self._pinged_ms = -PING_MS
        self._leaving = False
        self._epoch_on_disk = 0 if durable.view is None else durable.view.epoch
        self.chain = ChainLink(me, durable, self._actions_append, self._persist, tolerance + 1)
        self.calls = Calls(me, self.chain, validate, self._actions_append, self._send, rng)
        if self.view is not None:
            self.chain.enter(self.view)

    # What the host calls.

    def handle(self, message: ReplicaMessage, now_ms: float) -> list[Action]:
        """Take a message."""
        self._now = now_ms
        self._dispatch(message)
        return self._done()

    def begin(self, first: View | None) -> list[Action]:
        """To be called once, first. `first` is the view to begin with at the first start of all.

        It is put on disk like any other: a replica that is started again may be told other seeds.
        """
        if first is not None and self.view is None:
            self._learn(first)
        if self.chain.committed.sequence:
            self._actions.append(Commit(self.chain.committed))
        return self._done()

    def tick(self, now_ms: float) -> list[Action]:
        """To be called every 50 ms or so."""
        self._now = now_ms
        if now_ms - self._pinged_ms >= PING_MS:
            self._pinged_ms = now_ms
            self._ping_all()
            self.liveness.forget(now_ms)
        self._follow_wanted()
        self.chain.on_tick(now_ms)
        return self._done()

    def persisted(self, token: int, now_ms: float) -> list[Action]:
        """A record asked for is on disk."""
        self._now = now_ms
        _, then = self._waiting.pop(token)
        then()
        return self._done()

    def call(self, token: str, order: Order | None, now_ms: float) -> list[Action]:
        """An operator's call that came here: an order, or a read where `order` is None."""
        self._now = now_ms
        self.calls.begin(token, order, now_ms)
        return self._done()

    def leased(self, now_ms: float) -> bool:
        """Whether roles of the epoch may be used here: no later view was agreed a moment ago.

        Its own acceptance of a later view ends its lease: that may be what made up the later view's majority.
        """
        if self.view is None or self._accepted is not None or not self._voter():
            return False
        return self.liveness.leased(self.view, now_ms)

    def contact(self, now_ms: float) -> View | None:
        """The view, while a majority of its roster hears this replica; it need not vote itself."""
        if self.view is None or not self.liveness.in_contact(self.view, now_ms):
            return None
        return self.view

    def confirmed(self, now_ms: float) -> bool:
        """Whether what is committed here is as new as a majority knows: to be told to nodes."""
        return self.chain.synced and self.contact(now_ms) is not None

    def healthy(self, now_ms: float) -> bool:
        """Whether the disk answers."""
        slow = any(now_ms - since_ms > DISK_MS for since_ms, _ in self._waiting.values())
        return self._counts and not slow

    def leave(self, now_ms: float) -> list[Action]:
        """This process is to end: others take its place by agreement, in the next view."""
        self._now = now_ms
        self._leaving = True
        self._ping_all()
        return self._done()

    def may_end(self) -> bool:
        """Whether others can do without it: it is in no chain, and enough have the view that says so on disk.

        So many that one of them is left after the losses that may come at once.
        """
        view = self.view
        if view is None or not self._counts:
            return True
        if view.place(self.me.id) is not None:
            return False
        others = [member for member in view.roster if member.id != self.me.id]
        peers = self.liveness.peers
        told = sum(m.id in peers and peers[m.id].ping.epoch >= view.epoch for m in others)
        return told >= min(self._tolerance + 1, len(others))

    def addresses(self) -> set[str]:
        """All replicas worth a heartbeat."""
        result = self.known | set(self._seeds)
        if self.view is not None:
            result |= {member.address for member in self.view.roster}
        result |= {peer.ping.sender.address for peer in self.liveness.peers.values()}
        result.discard(self.me.address)
        return result

    # The rest is inside.

    def _done(self) -> list[Action]:
        self.calls.follow(self.view, self._now)
        actions = self._actions[:]
        self._actions.clear()
        return actions

    def _actions_append(self, action: Action) -> None:
        self._actions.append(action)

    def _persist(self, record: Record, then: Callable[[], None]) -> None:
        self._token += 1
        self._waiting[self._token] = (self._now, then)
        self._actions.append(Persist(self._token, record))

    def _send(self, address: str, message: ReplicaMessage) -> None:
        if address == self.me.address:
            self._dispatch(message)
        else:
            self._actions.append(Send(address, message))

    def _dispatch(self, message: ReplicaMessage) -> None:
        match message:
            case Ping():
                self._on_ping(message)
            case Prepare():
                self._on_prepare(message)
            case Promise():
                self._on_promise(message)
            case Accept():
                self._on_accept(message)
            case Accepted():
                self._on_accepted(message)
            case Denied():
                self._on_denied(message)
            case Decided():
                self._learn(message.view)
            case Offer():
                self.chain.on_offer(message)
            case Have():
                self.chain.on_have(message)
            case Append():
                self.chain.on_append(message)
            case Install():
                self.chain.on_install(message)
            case Committed():
                self.chain.on_committed(message)
            case Confirm():
                self._on_confirm(message)
            case Confirmed():
                self.calls.on_confirmed(message)
            case Ask():
                self.calls.on_ask(message, self._now)
            case Answer():
                self.calls.on_answer(message)

    # Heartbeats.

    def _my_ping(self) -> Ping:
        epoch = 0 if self.view is None else self.view.epoch
        echoes = self.liveness.echoes(self._now)
        lease_epoch = 0 if self._accepted is not None else epoch
        known = tuple(sorted(self.addresses()))[:HELD_MOST]
        healthy = self.healthy(self._now)
        return Ping(
            self.me,
            self._counts,
            healthy,
            self._leaving,
            self._epoch_on_disk,
            self.chain.synced_epoch,
            lease_epoch,
            self._now,
            echoes,
            known,
        )

    def _ping_all(self) -> None:
        ping = self._my_ping()
        for address in sorted(self.addresses()):
            self._send(address, ping)

    def _on_ping(self, ping: Ping) -> None:
        if ping.sender.id == self.me.id:
            return
        if ping.sender.id not in self.liveness.peers:
            self._send(ping.sender.address, self._my_ping())
        self.liveness.heard(ping, self._now)
        if ping.sender.address != self.me.address:
            self.known.add(ping.sender.address)
        if ping.counts and len(self.known) < HELD_MOST:
            self.known |= set(ping.known) - {self.me.address}
        if self.view is not None and ping.epoch < self.view.epoch:
            self._send(ping.sender.address, Decided(self.me, self.view))

    # Agreement on views: as a voter.

    def _voter(self) -> bool:
        return self._counts and self.view is not None and self.me.id in self.view.voters()

    def _on_prepare(self, message: Prepare) -> None:
        self._learn(message.current)
        if self.view is None or self.view.epoch > message.current.epoch:
            self._tell_view(message.sender)
            return
        if not self._voter():
            return
        epoch = self.view.epoch + 1
        if self._promised is not None and message.ballot < self._promised:
            self._send(message.sender.address, Denied(self.me, epoch, self._promised))
            return
        self._promised = message.ballot
        reply = Promise(self.me, epoch, message.ballot, self._accepted)
        self._persist(PromiseRecord(message.ballot), lambda: self._send(message.sender.address, reply))

    def _on_accept(self, message: Accept) -> None:
        epoch = message.view.epoch
        if self.view is None or self.view.epoch >= epoch:
            self._tell_view(message.sender)
            return
        if self.view.epoch != epoch - 1 or not self._voter():
            return
        if self._promised is not None and message.ballot < self._promised:
            self._send(message.sender.address, Denied(self.me, epoch, self._promised))
            return
        self._promised = message.ballot
        self._accepted = (message.ballot, message.view)
        reply = Accepted(self.me, epoch, message.ballot)
        record = AcceptRecord(message.ballot, message.view)
        self._persist(record, lambda: self._send(message.sender.address, reply))

    def _tell_view(self, member: Member) -> None:
        if self.view is not None:
            self._send(member.address, Decided(self.me, self.view))

    def _on_confirm(self, message: Confirm) -> None:
        if self.view is None or self.view.epoch != message.epoch or not self._voter():
            self._tell_view(message.sender)
        elif self._accepted is None:
            self._send(message.sender.address, Confirmed(self.me, message.epoch, message.nonce))

    # Agreement on views: as a proposer.

    def _follow_wanted(self) -> None:
        """The loop that turns the wanted view into the view in force."""
        if self._proposal is not None:
            if self._now - self._proposal.started_ms > PROPOSAL_MS:
                self._give_up()
            return
        if self.view is None or not self._voter() or self._now < self._quiet_until_ms:
            return
        if self._now - self._started_ms < START_MS:
            return
        heard = sum(self.liveness.hears(member.id, self._now) for member in self.view.roster)
        wanted = None
        if heard >= majority_of(self.view):
            wanted = wanted_view(self._observation(self.view))
        if wanted is None:
            self._differs_since_ms = None
            return
        if self._differs_since_ms is None:
            self._differs_since_ms = self._now
        patience_ms = PROPOSE_AFTER_MS + PROPOSE_STEP_MS * self._turn(self.view)
        if self._now - self._differs_since_ms >= patience_ms:
            self._propose(self.view, wanted)

    def _observation(self, view: View) -> Observation:
        pings = {member_id: peer.ping for member_id, peer in self.liveness.peers.items()}
        pings[self.me.id] = self._my_ping()
        return Observation(view, self.me, pings, self.liveness, self._tolerance, self._entered_ms, self._now)

    def _turn(self, view: View) -> int:
        """How many before this replica are alive to propose."""
        order = [*view.chain, *(member for member in view.roster if view.place(member.id) is None)]
        turn = 0
        for member in order:
            if member.id == self.me.id:
                break
            turn += self.liveness.reachable(member.id, self._now)
        return turn

    def _propose(self, view: View, wanted: View) -> None:
        number = 1 if self._promised is None else self._promised.number + 1
        # Of this life alone: a restart may have forgotten a ballot whose promise was not on disk yet.
        ballot = Ballot(number, f"{self.me.id}/{self._life}")
        self._proposal = Proposal(wanted.epoch, ballot, wanted, self._now)
        for member in view.roster:
            self._send(member.address, Prepare(self.me, view, ballot))

    def _give_up(self) -> None:
        self._proposal = None
        self._quiet_until_ms = self._now + PROPOSAL_JITTER_MS * self._rng.random()

    def _mine(self, epoch: int, ballot: Ballot) -> Proposal | None:
        proposal = self._proposal
        if proposal is None or (proposal.epoch, proposal.ballot) != (epoch, ballot):
            return None
        return proposal

    def _on_promise(self, message: Promise) -> None:
        proposal = self._mine(message.epoch, message.ballot)
        if proposal is None or self.view is None or message.sender.id not in self.view.voters():
            return
        chosen = proposal.on_promise(message.sender.id, message.accepted, majority_of(self.view))
        if chosen is not None:
            for member in self.view.roster:
                self._send(member.address, Accept(self.me, proposal.ballot, chosen))

    def _on_accepted(self, message: Accepted) -> None:
        proposal = self._mine(message.epoch, message.ballot)
        if proposal is None or self.view is None or message.sender.id not in self.view.voters():
            return
        decided = proposal.on_accepted(message.sender.id, majority_of(self.view))
        if decided is None:
            return
        told = {member.address for member in (*self.view.roster, *decided.roster)}
        self._learn(decided)
        for address in sorted(told - {self.me.address}):
            self._send(address, Decided(self.me, decided))

    def _on_denied(self, message: Denied) -> None:
        proposal = self._proposal
        if proposal is None or proposal.epoch != message.epoch or message.promised <= proposal.ballot:
            return
        if self._promised is None or self._promised < message.promised:
            # Remembered, so that the next ballot is higher; it need not be on disk, as it is no promise.
            self._promised = message.promised
        self._give_up()

    def _learn(self, view: View) -> None:
        if self.view is not None and view.epoch <= self.view.epoch:
            return
        self.view = view
        self._promised = self._accepted = None
        self._proposal = None
        self._differs_since_ms = None
        self._entered_ms = self._now
        self.chain.leave()
        self.calls.moved()

        def entered() -> None:
            self._epoch_on_disk = view.epoch
            if self.view is view:
                self.chain.enter(view)

        self._persist(ViewRecord(view), entered)
