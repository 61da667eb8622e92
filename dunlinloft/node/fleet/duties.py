"""Hosts the fleet's duties: their messages ride on the members' datagrams, their claims on members' facts.

What duties do is here too: the divergence watch, and the ledger's rows. Whatever fails is the fleet's, and
the node serves on.
"""

from __future__ import annotations

import math
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import count
from typing import Any, Protocol
from urllib.parse import parse_qs

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.leases import messages as duties
from dunlinloft.fleet.leases.guard import FencingGuard
from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.table_primary import TablePrimary, TableStep
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.leases.watch import DIVERGENCE_WATCH_ROLE, DivergenceWatch
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import Ack, ApplicationMessage, Message, MetadataValue
from dunlinloft.node import logs
from dunlinloft.node.config import now_ms

ALL = (DIVERGENCE_WATCH_ROLE, STATE_TABLE_ROLE)
SEEN_S = 0.4  # how often the cores are told who is there
WATCH_S = 0.5  # how often the watch asks some of the members
CLAIM = "duty."  # facts that begin so say which duties a member holds, with the token
VOTERS = "voters"  # the fact that says who votes since which change: told by whoever has adopted one
MOST_HISTORY = 50
FIRST = 1 << 32  # what a part of the process enters has numbers beyond those of operators
MOST_ENTRIES = 64  # of operators whose end is remembered
LIMIT = "limit/"  # rows that begin so hold an operators' limit for a tenant, in requests a second
LATE_HEALTH = 2  # local health from which this process does not stand for duties


class Later(Protocol):
    """What calls something later: an event loop, or virtual time."""

    def call_later(self, delay: float, callback: Callable[..., None], /, *args: Any) -> Any:
        """After so many seconds."""


class Fellows(Protocol):
    """This process among the members, as duties need it."""

    counts: dict[str, int]

    @property
    def core(self) -> Membership:
        """Its membership."""

    def tell(self, name: str, content: duties.Message, /) -> None:
        """Say something to a member, or to itself."""

    def handle(self, event: api.Event, /) -> None:
        """Give its membership an event."""

    def ask_view(self, name: str, /) -> None:
        """Have a member say which view it holds."""


class Entries:
    """Rows that parts of this process have the ledger keep."""

    def __init__(self, give: Callable[[duties.Event], None]) -> None:
        self._give, self._numbers = give, count(FIRST)
        self._open: dict[int, Callable[[bool], None]] = {}
        self._whys: dict[int, str] = {}

    def keep(self, key: str, value: bytes, done: Callable[[bool], None]) -> str:
        """Have a row kept; "" where it is on its way and `done` will be told, else why not."""
        number = next(self._numbers)
        self._open[number] = done
        self._give(duties.WriteRequested(key, value, number))
        why = self._whys.pop(number, "")
        if why:
            del self._open[number]
        return why

    def settled(self, action: duties.WriteCompleted) -> bool:
        """How one ended; False where it is none of these."""
        if action.request_id not in self._open:
            return False
        if action.rejection:
            self._whys[action.request_id] = action.rejection
        else:
            self._open.pop(action.request_id)(action.committed)
        return True


class DutyHost:
    """This process's part in the fleet's duties."""

    def __init__(
        self, loop: Later, peers: Fellows, name: str, zone: str, voters: list[str], rng: random.Random,
        now: Callable[[], float] = now_ms,
    ) -> None:  # fmt: skip
        self._loop, self._peers, self._voters, self._rng = loop, peers, voters, rng
        self._name, self._zone, self._now = name, zone, now
        self.entries = Entries(self._give)
        # Whoever else needs the ledger hears when it is open here, and when it no longer is.
        self.on_open: Callable[[TablePrimary], None] = lambda ledger: None
        self.on_close: Callable[[], None] = lambda: None
        self.core: LeaseManager | None = None  # until the process is a member: a voter's silence begins then
        self.guard = FencingGuard()
        self.watch = DivergenceWatch()
        self._history: deque[dict[str, Any]] = deque(maxlen=MOST_HISTORY)
        self._claims: dict[str, tuple[str, int]] = {}
        self._entries: OrderedDict[int, dict[str, Any]] = OrderedDict()  # of operators, and how each ended
        self._entered = 0
        self.ordered: Callable[[int, dict[str, float]], None] = lambda token, limits: None
        self._over = False

    def begin(self) -> None:
        """The process can be reached."""
        life = self._rng.getrandbits(62)
        self.core = LeaseManager(self._name, life, self._voters, list(ALL), self._rng, _wall_ms, self._now())
        self._do(self.core.begin(self._now()))
        self._loop.call_later(SEEN_S, self._see)
        self._loop.call_later(WATCH_S, self._watch)

    def heard(self, message: Message) -> None:
        """A datagram has come that may be about duties."""
        if isinstance(message, ApplicationMessage) and isinstance(message.content, duties.Message):
            self.take(message.content, message.header.name)
        elif isinstance(message, Ack):
            self.watch.record_digest(message.header.name, message.header.digest, self._now())

    def take(self, content: duties.Message, sender: str) -> None:
        """Something about a duty."""
        self._give(duties.MessageReceived(content, sender))

    def _give(self, event: duties.Event) -> None:
        if self.core is None or self._over:
            return
        try:
            self._do(self.core.handle(event, self._now()))
        except Exception:
            self._peers.counts["errors"] += 1
            logs.exception("fleet error", "the duties' part, handling %(what)s", what=type(event).__name__)

    def _do(self, actions: list[duties.Action]) -> None:
        for action in actions:
            match action:
                case duties.SendMessage():
                    self._peers.tell(action.recipient, action.message)
                case duties.SetTimer():
                    self._loop.call_later(
                        action.delay_ms / 1000.0, self._give, duties.TimerFired(action.token)
                    )
                case duties.LeaseAcquired():
                    self._note(action.role, "holds", action.token, "")
                    self._claim(action.role, action.token)
                    if action.role == DIVERGENCE_WATCH_ROLE:
                        self.watch.on_start(action.token, action.state)
                case duties.TableOpened():
                    if self.core is not None and self.core.table is not None:
                        self.on_open(self.core.table)
                    text = "the ledger is open with %(rows)d rows, token %(token)d"
                    lost = "; rows that were acknowledged may be lost: a majority of the voters has forgotten"
                    text += lost if action.rows_lost else ""
                    logs.info(
                        "ledger open", text, rows=action.row_count, token=action.token, lost=action.rows_lost
                    )
                case duties.WriteCompleted():
                    self._settled(action)
                case duties.VotersChanged():
                    voters = action.voters
                    text = "after change %(change)d the voters are %(voters)s"
                    logs.info("voters", text, change=voters.epoch, voters=", ".join(voters.names))
                    told = f"{voters.epoch} {','.join(voters.names)}"
                    self._peers.handle(api.MetadataUpdated({VOTERS: told}))
                case duties.LeaseLost():
                    if action.role == DIVERGENCE_WATCH_ROLE:
                        self.watch.on_stop()
                    elif action.role == STATE_TABLE_ROLE:
                        self.on_close()
                    self._note(action.role, "stops", action.token, action.reason)
                    self._claim(action.role, 0)

    def _note(self, duty: str, what: str, token: int, why: str) -> None:
        at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
        self._history.append({"time": at, "duty": duty, "what": what, "token": token, "why": why})
        text = f"{what} %(duty)s, token %(token)d" + (": %(why)s" if why else "")
        logs.info(f"duty {what}", text, duty=duty, token=token, why=why)

    def _claim(self, duty: str, token: int) -> None:
        self._peers.handle(api.MetadataUpdated({CLAIM + duty: str(token) if token else ""}))

    # What is seen of the others

    def _see(self) -> None:
        if self._over:
            return
        core = self._peers.core
        here = {m.name for m in core.view.members.values() if m.is_alive() and not m.metadata.get("draining")}
        claims: dict[str, tuple[str, int]] = {}
        voters: duties.VoterSet | None = None
        for member in core.view.members.values():
            if not member.is_alive():
                continue
            voters = max(voters, _voters(member.metadata.get(VOTERS)), key=_epoch)
            for fact, value in member.metadata.items():
                if fact.startswith(CLAIM) and isinstance(value, str) and value.isdigit():
                    duty, token = fact.removeprefix(CLAIM), int(value)
                    if self.guard.admits(duty, token):
                        claims[duty] = member.name, token
        for duty, candidate in self.core.candidates.items() if self.core is not None else ():
            if candidate.is_leader:
                claims[duty] = self._name, candidate.token
        self._claims = claims
        well = core.health.score < LATE_HEALTH and not core.muted and core.alive_count() > 1
        zones = {m.name: str(m.metadata.get("zone", "")) for m in core.view.members.values() if m.is_alive()}
        zones[self._name] = self._zone
        self._give(duties.MembershipObserved(frozenset(here | {self._name}), claims, well, zones, voters))
        self._loop.call_later(SEEN_S, self._see)

    def _watch(self) -> None:
        if self._over:
            return
        self._order()
        if self.holds(DIVERGENCE_WATCH_ROLE):
            self.watch.record_digest(self._name, self._peers.core.digest(), self._now())
            for name in self.watch.next_queries(self._peers.core.view.alive.names(), WATCH_S * 1000.0):
                self._peers.ask_view(name)
        self._loop.call_later(WATCH_S, self._watch)

    def holds(self, duty: str) -> bool:
        """Whether a duty is this process's at this instant."""
        return self.core is not None and self.core.holds(duty, self._now())

    def holder(self, duty: str) -> str:
        """Who holds it, as far as is known here."""
        return self._claims.get(duty, ("", 0))[0]

    def _settled(self, action: duties.WriteCompleted) -> None:
        if self.entries.settled(action):
            return
        entry = self._entries.get(action.request_id)
        if entry is not None:
            entry["state"] = "kept" if action.committed else "not taken" if action.rejection else "unknown"
            entry["why"] = action.rejection

    def _order(self) -> None:
        """Whoever holds the ledger tells all what operators have set."""
        ledger = self.core.table if self.core is not None else None
        if ledger is None or ledger.step != TableStep.OPEN or not self.holds(STATE_TABLE_ROLE):
            return
        limits: dict[str, float] = {}
        for key, row in ledger.rows.items():
            limit = _number(row.value) if key.startswith(LIMIT) else None
            if limit is not None:
                limits[key.removeprefix(LIMIT)] = limit
        self.ordered(ledger.token, limits)

    # What operators see and do

    def ledger(self) -> tuple[int, dict[str, Any]]:
        """The ledger's rows, at whoever holds it; elsewhere who that is."""
        ledger = self.core.table if self.core is not None else None
        holder, token = self._claims.get(STATE_TABLE_ROLE, ("", 0))
        held = self.holds(STATE_TABLE_ROLE)
        rows = sorted(ledger.rows.values(), key=lambda row: row.key) if ledger is not None and held else []
        return 200, {
            "self": self._name, "holder": holder, "token": token, "here": held,
            "step": ledger.step if ledger is not None and held else "",
            "lost": ledger.rows_lost if ledger is not None and held else False,
            "rows": [
                {"key": row.key, "value": row.value.decode("utf-8", "replace"), "token": row.token}
                for row in rows
            ],
            "entries": list(self._entries.values()),
        }  # fmt: skip

    def enter(self, query: str) -> tuple[int, dict[str, Any]]:
        """Enter a row; whether it is kept shows under `entries` a moment later."""
        asked = {name: values[0] for name, values in parse_qs(query, keep_blank_values=True).items()}
        key, value = asked.get("key", ""), asked.get("value", "")
        if key == VOTERS:
            return 400, {"error": "voters change one at a time, by a call of their own: see `fleet voters`"}
        if key.startswith(LIMIT) and _number(value.encode()) is None:
            return 400, {"error": f"{key} takes a number of requests a second, not {value!r:.60}"}
        if not self.holds(STATE_TABLE_ROLE):
            holder = self._claims.get(STATE_TABLE_ROLE, ("", 0))[0]
            return 409, {"error": f"{self._name} does not hold the ledger", "holder": holder}
        entry = self._entry(key, value)
        self._give(duties.WriteRequested(key, value.encode(), entry["entry"]))
        return self._begun(entry)

    def _entry(self, key: str, value: str) -> dict[str, Any]:
        """What operators enter, to be looked up by them later."""
        self._entered += 1
        entry = self._entries[self._entered] = {
            "entry": self._entered, "key": key, "value": value, "state": "under way", "why": "",
        }  # fmt: skip
        while len(self._entries) > MOST_ENTRIES:
            self._entries.popitem(last=False)
        return entry

    def _begun(self, entry: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        if entry["state"] == "not taken":
            return 409, {"error": entry["why"]}
        return 202, {"entry": entry["entry"]}

    def change_voters(self, query: str) -> tuple[int, dict[str, Any]]:
        """Have one more voter or one fewer; how it ends shows under `entries` of the ledger."""
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        add, remove = asked.get("add", ""), asked.get("remove", "")
        if not self.holds(STATE_TABLE_ROLE):
            holder = self._claims.get(STATE_TABLE_ROLE, ("", 0))[0]
            return 409, {"error": f"{self._name} does not hold the ledger", "holder": holder}
        entry = self._entry(VOTERS, f"+{add}" if add else f"-{remove}")
        self._give(duties.VoterChangeRequested(add, remove, entry["entry"]))
        return self._begun(entry)

    def voters(self) -> tuple[int, dict[str, Any]]:
        """Who votes, whether they are there, who takes others for the voters, why no change may begin."""
        core, members = self.core, self._peers.core.view.members
        if core is None:
            return 503, {"error": "this process is no member yet"}
        now, ours = self._now(), core.voters
        others = {
            m.name: str(m.metadata[VOTERS])
            for m in members.values()
            if m.is_alive() and _epoch(_voters(m.metadata.get(VOTERS))) not in (0, ours.epoch)
        }
        here = {m.name for m in members.values() if m.is_alive()} | {self._name}
        holder = self._claims.get(STATE_TABLE_ROLE, ("", 0))[0]
        return 200, {
            "self": self._name, "change": ours.epoch, "configured": self._voters, "holder": holder,
            "voters": [{"name": name, "there": name in here} for name in ours.names],
            "behind": others, "why_no_change": core.why_no_voter_change(now),
            "here": core.holds(STATE_TABLE_ROLE, now),
        }  # fmt: skip

    def give_all_back(self) -> None:
        """This process goes, or drains: its duties are for others now."""
        for duty in ALL:
            self._give(duties.HandoverRequested(duty))

    def hand_over(self, query: str) -> tuple[int, dict[str, Any]]:
        """Give a duty to another member, or to whoever is next."""
        asked = {name: values[0] for name, values in parse_qs(query).items()}
        duty, to = asked.get("duty", ""), asked.get("to", "")
        if duty not in ALL:
            return 400, {"error": f"no duty is {duty!r}; there are {', '.join(ALL)}"}
        if to and to != self._name and to not in self._peers.core.view.alive:
            return 400, {"error": f"no member there is {to!r}"}
        if not self.holds(duty):
            holder = self._claims.get(duty, ("", 0))[0]
            return 409, {"error": f"{self._name} does not hold {duty}", "holder": holder}
        self._give(duties.HandoverRequested(duty, to))
        return 200, {"duty": duty, "to": to}

    def show(self) -> tuple[int, dict[str, Any]]:
        """All that the admin endpoint tells of duties."""
        now = self._now()
        core = self.core
        shown: list[dict[str, Any]] = []
        for duty in ALL:
            candidate = core.candidates[duty] if core is not None else None
            mine = core is not None and core.holds(duty, now)
            holder, token = self._claims.get(duty, ("", 0))
            row = {"duty": duty, "holder": holder, "token": token, "here": mine}
            if candidate is not None and mine:
                row["remaining_s"] = round((candidate.expires_ms - now) / 1000.0, 2)
            elif candidate is not None and not holder:
                row["why"] = candidate.reason
            shown.append(row)
        voter = core.member.acceptor if core is not None else None
        return 200, {
            "self": self._name,
            "voters": list(core.voters.names) if core is not None else self._voters,
            "votes": voter is not None and voter.may_vote(now),
            "duties": shown,
            "refused_tokens": self.guard.rejected,
            "history": list(self._history),
            "divergence": [
                {
                    "digest": f"{g.digest:016x}",
                    "members": g.members,
                    "for_s": round((now - g.since_ms) / 1000.0, 1),
                }
                for g in (self.watch.groups(now) if self.watch.token else [])
            ],
        }

    def close(self) -> None:
        """Nothing more."""
        self._over = True


def _number(value: bytes) -> float | None:
    """A limit as it is written: a finite number that is not negative."""
    try:
        found = float(value)
    except ValueError:
        return None
    return found if 0.0 <= found < math.inf else None


def _voters(told: MetadataValue | None) -> duties.VoterSet | None:
    """Who votes, as a member's fact says; None where it says nothing of use."""
    epoch, _, names = str(told or "").partition(" ")
    return duties.VoterSet(int(epoch), tuple(names.split(","))) if epoch.isdecimal() and names else None


def _epoch(voters: duties.VoterSet | None) -> int:
    return voters.epoch if voters is not None else 0


def _wall_ms() -> int:
    return int(time.time() * 1000.0)
