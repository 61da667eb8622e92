"""A replica of the control plane: agreed views, the chain, and the operator's calls, as one state machine.

Hand it messages, ticks and `persisted`; do what it says, in order. Times are in milliseconds of a steady
clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from dunlinloft.coordination.actions import Action, Commit, Persist, Send
from dunlinloft.coordination.agreement import majority_of
from dunlinloft.coordination.calls import Calls, Validate
from dunlinloft.coordination.chain import ChainLink
from dunlinloft.coordination.liveness import Liveness
from dunlinloft.coordination.membership import Observation, wanted_view
from dunlinloft.coordination.messages import (
    Accept,
    Accepted,
    Answer,
    Append,
    Ask,
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
    Record,
    ReplicaMessage,
    View,
)
from dunlinloft.coordination.voting import Voting

PING_MS = 150.0
START_MS = 800.0  # after its start, others that start too are given so long before they count as down
DISK_MS = 300.0  # a write that takes longer shows a disk in trouble
LEASES_END_MS = 750.0  # so long after a view was learned, leases of earlier ones have ended
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
        self._actions: list[Action] = []
        self._waiting: dict[int, tuple[float, Callable[[], None]]] = {}
        self._token = 0
        self._now = self._started_ms = now_ms
        self.liveness = Liveness(me)
        self.known: set[str] = set()
        self._pinged_ms = -PING_MS
        self._leaving = False
        self.chain = ChainLink(me, durable, self._actions_append, self._persist, tolerance + 1)
        self.calls = Calls(me, self.chain, validate, self._actions_append, self._send, rng)
        self._voting = Voting(
            me,
            counts,
            durable,
            rng,
            now_ms,
            self._send,
            self._persist,
            self._left,
            self._entered,
            self.chain.stop_uncommitted,
        )
        stopped = durable.accepted is not None and durable.accepted[1].witness == me.id
        if self.view is not None and not stopped:
            self.chain.enter(self.view)

    @property
    def view(self) -> View | None:
        """The view in force, as far as is known here."""
        return self._voting.view

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
            self._voting.learn(first, self._now)
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
        view = self.view
        if view is None or self._voting.lease_epoch != view.epoch or not self._voting.votes:
            return False
        return self.liveness.leased(view, now_ms)

    def lease_over(self, address: str, now_ms: float) -> bool:
        """Whether who was at an address can use no role of the view before any more.

        Nor can anybody use one of a still earlier view, as the view before has to be older than any lease.
        """
        view, before = self.view, self._voting.before
        if view is None or before is None or self._voting.epoch_on_disk != view.epoch:
            return False
        if self._voting.entered_ms - self._voting.before_ms < LEASES_END_MS:
            return False
        member = next((m for m in before.chain if m.address == address), None)
        return member is not None and self.liveness.lease_over(member, before, view.epoch, now_ms)

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
            case Prepare() | Promise() | Accept() | Accepted() | Denied() | Decided() | Confirm():
                self._voting.handle(message, self._now)
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
            case Confirmed():
                self.calls.on_confirmed(message)
            case Ask():
                self.calls.on_ask(message, self._now)
            case Answer():
                self.calls.on_answer(message)

    # Heartbeats.

    def _my_ping(self) -> Ping:
        echoes = self.liveness.echoes(self._now)
        known = tuple(sorted(self.addresses()))[:HELD_MOST]
        healthy = self.healthy(self._now)
        return Ping(
            self.me,
            self._counts,
            healthy,
            self._leaving,
            self._voting.epoch_on_disk,
            self.chain.synced_epoch,
            self._voting.lease_epoch,
            self._now,
            echoes,
            known,
            self._now - self._started_ms,
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

    # Views.

    def _follow_wanted(self) -> None:
        """The loop that turns the wanted view into the view in force."""
        view = self.view
        if not self._voting.may_propose(self._now) or view is None:
            return
        if self._now - self._started_ms < START_MS:
            return
        heard = sum(self.liveness.hears(member.id, self._now) for member in view.roster)
        wanted = wanted_view(self._observation(view)) if heard >= majority_of(view) else None
        if wanted is None and heard >= majority_of(view):
            # A ballot that stopped halfway is brought to an end: until then its voters confirm nothing.
            wanted = self._voting.undecided
        self._voting.follow(wanted, self._turn(view), self._now)

    def _observation(self, view: View) -> Observation:
        pings = {member_id: peer.ping for member_id, peer in self.liveness.peers.items()}
        pings[self.me.id] = self._my_ping()
        entered_ms = self._voting.entered_ms
        return Observation(view, self.me, pings, self.liveness, self._tolerance, entered_ms, self._now)

    def _turn(self, view: View) -> int:
        """How many before this replica are alive to propose."""
        order = [*view.chain, *(member for member in view.roster if view.place(member.id) is None)]
        turn = 0
        for member in order:
            if member.id == self.me.id:
                break
            turn += self.liveness.reachable(member.id, self._now)
        return turn

    def _entered(self, view: View) -> None:
        self.chain.enter(view)
        self._pinged_ms = -PING_MS  # all hear of it with the next tick

    def _left(self) -> None:
        self.chain.leave()
        self.calls.moved()
