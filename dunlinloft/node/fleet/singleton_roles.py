"""Hosts the fleet's singleton roles, each held by one member at a time under a lease.

Messages of the leases are sent in the members' datagrams, claims are published in the members' metadata. The
roles run here too: the divergence watch and the state table. On an error the node goes on serving.
"""

from __future__ import annotations

import math
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable
from urllib.parse import parse_qs

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.leases import messages as leases
from dunlinloft.fleet.leases.guard import FencingGuard
from dunlinloft.fleet.leases.manager import LeaseManager
from dunlinloft.fleet.leases.table_primary import TablePrimary, TableStep
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.leases.watch import DIVERGENCE_WATCH_ROLE, DivergenceWatch
from dunlinloft.fleet.messages import Ack, ApplicationMessage, Message, MetadataValue
from dunlinloft.node import logs
from dunlinloft.node.admin_reply import AdminReply, JsonObject, error_reply
from dunlinloft.node.clock import now_ms
from dunlinloft.node.fleet.role_messaging import MemberMessaging, Scheduler, TableWrites

ROLES = (DIVERGENCE_WATCH_ROLE, STATE_TABLE_ROLE)
MEMBERSHIP_INTERVAL_S = 0.4  # between reports of the members to the lease manager
WATCH_INTERVAL_S = 0.5  # between queries of the divergence watch to some of the members
CLAIM_PREFIX = "duty."  # of metadata keys whose value is the token of a role that the member holds
VOTERS_KEY = (
    "voters"  # of metadata with the voters and their epoch, published by members that have adopted them
)
MAX_HISTORY = 50
MAX_OPERATOR_ENTRIES = 64  # writes by operators whose outcome is kept
LIMIT_PREFIX = "limit/"  # of rows with an operators' limit for a tenant, in requests per second
MAX_HEALTH_SCORE = 2  # from this local health score on a process does not become a candidate


class RoleHost:
    """Hosts the leases of this process and the roles that it holds."""

    def __init__(
        self,
        loop: Scheduler,
        peers: MemberMessaging,
        name: str,
        zone: str,
        voters: list[str],
        rng: random.Random,
        now: Callable[[], float] = now_ms,
    ) -> None:
        self._loop, self._peers, self._voters, self._rng = loop, peers, voters, rng
        self._name, self._zone, self._now = name, zone, now
        self.writes = TableWrites(self._handle)
        # Called when this process has opened the table, and when it no longer holds it.
        self.on_open: Callable[[TablePrimary], None] = lambda table: None
        self.on_close: Callable[[], None] = lambda: None
        self.core: LeaseManager | None = None  # once a member: a restarted voter's wait begins then
        self.guard = FencingGuard()
        self.watch = DivergenceWatch()
        self._history: deque[JsonObject] = deque(maxlen=MAX_HISTORY)
        self._claims: dict[str, tuple[str, int]] = {}
        self._entries: OrderedDict[int, JsonObject] = OrderedDict()  # writes by operators, with their outcome
        self._entry_count = 0
        self.on_limits_read: Callable[[int, dict[str, float]], None] = lambda token, limits: None
        self._closed = False

    def begin(self) -> None:
        """Start: the process can be reached by its peers now."""
        incarnation = self._rng.getrandbits(62)
        self.core = LeaseManager(
            self._name, incarnation, self._voters, list(ROLES), self._rng, _wall_ms, self._now()
        )
        self._perform(self.core.begin(self._now()))
        self._loop.call_later(MEMBERSHIP_INTERVAL_S, self._observe_members)
        self._loop.call_later(WATCH_INTERVAL_S, self._watch_divergence)

    def on_message(self, message: Message) -> None:
        """Handle a received message, if it is about leases."""
        if isinstance(message, ApplicationMessage) and isinstance(message.content, leases.Message):
            self.on_content(message.content, message.header.name)
        elif isinstance(message, Ack):
            self.watch.record_digest(message.header.name, message.header.digest, self._now())

    def on_content(self, content: leases.Message, sender: str) -> None:
        """Handle a message of the leases."""
        self._handle(leases.MessageReceived(content, sender))

    def _handle(self, event: leases.Event) -> None:
        if self.core is None or self._closed:
            return
        try:
            self._perform(self.core.handle(event, self._now()))
        except Exception:
            self._peers.counts["errors"] += 1
            logs.exception("fleet error", "leases: handling %(what)s", what=type(event).__name__)

    def _perform(self, actions: list[leases.Action]) -> None:
        for action in actions:
            match action:
                case leases.SendMessage():
                    self._peers.send_to_member(action.recipient, action.message)
                case leases.SetTimer():
                    self._loop.call_later(
                        action.delay_ms / 1000.0, self._handle, leases.TimerFired(action.token)
                    )
                case leases.LeaseAcquired():
                    self._on_lease_acquired(action)
                case leases.TableOpened():
                    self._on_table_opened(action)
                case leases.WriteCompleted():
                    self._on_write_completed(action)
                case leases.VotersChanged():
                    self._on_voters_changed(action.voters)
                case leases.LeaseLost():
                    self._on_lease_lost(action)

    def _on_lease_acquired(self, action: leases.LeaseAcquired) -> None:
        self._record(action.role, "holds", action.token, "")
        self._claim(action.role, action.token)
        if action.role == DIVERGENCE_WATCH_ROLE:
            self.watch.on_start(action.token, action.state)

    def _on_lease_lost(self, action: leases.LeaseLost) -> None:
        if action.role == DIVERGENCE_WATCH_ROLE:
            self.watch.on_stop()
        elif action.role == STATE_TABLE_ROLE:
            self.on_close()
        self._record(action.role, "stops", action.token, action.reason)
        self._claim(action.role, 0)

    def _on_table_opened(self, action: leases.TableOpened) -> None:
        if self.core is not None and self.core.table is not None:
            self.on_open(self.core.table)
        text = "the ledger is open with %(rows)d rows, token %(token)d"
        if action.rows_lost:
            text += "; acknowledged rows may be lost: a majority of the voters has lost its state"
        logs.info("ledger open", text, rows=action.row_count, token=action.token, lost=action.rows_lost)

    def _on_voters_changed(self, voters: leases.VoterSet) -> None:
        names = ", ".join(voters.names)
        text = "voters after change %(change)d: %(voters)s"
        logs.info("voters", text, change=voters.epoch, voters=names)
        value = f"{voters.epoch} {','.join(voters.names)}"
        self._peers.handle(api.MetadataUpdated({VOTERS_KEY: value}))

    def _record(self, role: str, what: str, token: int, why: str) -> None:
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime())
        self._history.append({"time": timestamp, "duty": role, "what": what, "token": token, "why": why})
        text = f"{what} %(duty)s, token %(token)d" + (": %(why)s" if why else "")
        logs.info(f"duty {what}", text, duty=role, token=token, why=why)

    def _claim(self, role: str, token: int) -> None:
        self._peers.handle(api.MetadataUpdated({CLAIM_PREFIX + role: str(token) if token else ""}))

    # Observation of other members

    def _observe_members(self) -> None:
        if self._closed:
            return
        core = self._peers.core
        alive = {
            m.name for m in core.view.members.values() if m.is_alive() and not m.metadata.get("draining")
        }
        claims: dict[str, tuple[str, int]] = {}
        voters: leases.VoterSet | None = None
        for member in core.view.members.values():
            if not member.is_alive():
                continue
            voters = max(voters, _voters(member.metadata.get(VOTERS_KEY)), key=_epoch)
            for key, value in member.metadata.items():
                if key.startswith(CLAIM_PREFIX) and isinstance(value, str) and value.isdigit():
                    role, token = key.removeprefix(CLAIM_PREFIX), int(value)
                    if self.guard.admits(role, token):
                        claims[role] = member.name, token
        for role, candidate in self.core.candidates.items() if self.core is not None else ():
            if candidate.is_leader:
                claims[role] = self._name, candidate.token
        self._claims = claims
        healthy = core.health.score < MAX_HEALTH_SCORE and not core.muted and core.alive_count() > 1
        zones = {m.name: str(m.metadata.get("zone", "")) for m in core.view.members.values() if m.is_alive()}
        zones[self._name] = self._zone
        self._handle(
            leases.MembershipObserved(frozenset(alive | {self._name}), claims, healthy, zones, voters)
        )
        self._loop.call_later(MEMBERSHIP_INTERVAL_S, self._observe_members)

    def _watch_divergence(self) -> None:
        if self._closed:
            return
        self._read_limits()
        if self.holds(DIVERGENCE_WATCH_ROLE):
            self.watch.record_digest(self._name, self._peers.core.digest(), self._now())
            for name in self.watch.next_queries(
                self._peers.core.view.alive.names(), WATCH_INTERVAL_S * 1000.0
            ):
                self._peers.request_view(name)
        self._loop.call_later(WATCH_INTERVAL_S, self._watch_divergence)

    def holds(self, role: str) -> bool:
        """Whether this process holds a role at this instant."""
        return self.core is not None and self.core.holds(role, self._now())

    def owner_of(self, role: str) -> str:
        """Return the known holder of a role; "" if there is none."""
        return self._claims.get(role, ("", 0))[0]

    def _on_write_completed(self, action: leases.WriteCompleted) -> None:
        if self.writes.on_completed(action):
            return
        entry = self._entries.get(action.request_id)
        if entry is not None:
            entry["state"] = "kept" if action.committed else "not taken" if action.rejection else "unknown"
            entry["why"] = action.rejection

    def _read_limits(self) -> None:
        """Share the operators' limits with all members, if this process holds the table."""
        table = self.core.table if self.core is not None else None
        if table is None or table.step != TableStep.OPEN or not self.holds(STATE_TABLE_ROLE):
            return
        limits: dict[str, float] = {}
        for key, row in table.rows.items():
            limit = _number(row.value) if key.startswith(LIMIT_PREFIX) else None
            if limit is not None:
                limits[key.removeprefix(LIMIT_PREFIX)] = limit
        self.on_limits_read(table.token, limits)

    # Admin endpoint

    def table_status(self) -> AdminReply:
        """Return the table's rows if this process holds it, else the holder."""
        table = self.core.table if self.core is not None else None
        owner, token = self._claims.get(STATE_TABLE_ROLE, ("", 0))
        holds_table = self.holds(STATE_TABLE_ROLE)
        rows = (
            sorted(table.rows.values(), key=lambda row: row.key) if table is not None and holds_table else []
        )
        return AdminReply(200, {
            "self": self._name, "holder": owner, "token": token, "here": holds_table,
            "step": table.step if table is not None and holds_table else "",
            "lost": table.rows_lost if table is not None and holds_table else False,
            "rows": [
                {"key": row.key, "value": row.value.decode("utf-8", "replace"), "token": row.token}
                for row in rows
            ],
            "entries": list(self._entries.values()),
        })  # fmt: skip

    def write_row(self, query: str) -> AdminReply:
        """Begin to write a row; its outcome appears under `entries` of the table's status."""
        parameters = {name: values[0] for name, values in parse_qs(query, keep_blank_values=True).items()}
        key, value = parameters.get("key", ""), parameters.get("value", "")
        if key == VOTERS_KEY:
            return error_reply(
                400, "voters are changed one at a time, not written as a row: see `fleet voters`"
            )
        if key.startswith(LIMIT_PREFIX) and _number(value.encode()) is None:
            return error_reply(400, f"{key} must be a number of requests per second, not {value!r:.60}")
        if not self.holds(STATE_TABLE_ROLE):
            owner = self._claims.get(STATE_TABLE_ROLE, ("", 0))[0]
            return error_reply(409, f"{self._name} does not hold the ledger", holder=owner)
        entry = self._entry(key, value)
        self._handle(leases.WriteRequested(key, value.encode(), entry["entry"]))
        return self._accepted(entry)

    def _entry(self, key: str, value: str) -> JsonObject:
        """Register a write by operators, whose outcome they can look up later."""
        self._entry_count += 1
        entry = self._entries[self._entry_count] = {
            "entry": self._entry_count, "key": key, "value": value, "state": "under way", "why": "",
        }  # fmt: skip
        while len(self._entries) > MAX_OPERATOR_ENTRIES:
            self._entries.popitem(last=False)
        return entry

    def _accepted(self, entry: JsonObject) -> AdminReply:
        if entry["state"] == "not taken":
            return error_reply(409, entry["why"])
        return AdminReply(202, {"entry": entry["entry"]})

    def change_voters(self, query: str) -> AdminReply:
        """Begin to add or remove a voter; its outcome appears under `entries` of the table's status."""
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        add, remove = parameters.get("add", ""), parameters.get("remove", "")
        if not self.holds(STATE_TABLE_ROLE):
            owner = self._claims.get(STATE_TABLE_ROLE, ("", 0))[0]
            return error_reply(409, f"{self._name} does not hold the ledger", holder=owner)
        entry = self._entry(VOTERS_KEY, f"+{add}" if add else f"-{remove}")
        self._handle(leases.VoterChangeRequested(add, remove, entry["entry"]))
        return self._accepted(entry)

    def voters_status(self) -> AdminReply:
        """Return the voters with their liveness, members with other voters, and what blocks a change."""
        core, members = self.core, self._peers.core.view.members
        if core is None:
            return error_reply(503, "this process is not a member yet")
        now, current = self._now(), core.voters
        outdated = {
            m.name: str(m.metadata[VOTERS_KEY])
            for m in members.values()
            if m.is_alive() and _epoch(_voters(m.metadata.get(VOTERS_KEY))) not in (0, current.epoch)
        }
        alive = {m.name for m in members.values() if m.is_alive()} | {self._name}
        owner = self._claims.get(STATE_TABLE_ROLE, ("", 0))[0]
        return AdminReply(200, {
            "self": self._name, "change": current.epoch, "configured": self._voters, "holder": owner,
            "voters": [{"name": name, "there": name in alive} for name in current.names],
            "behind": outdated, "why_no_change": core.voter_change_blocked_reason(now),
            "here": core.holds(STATE_TABLE_ROLE, now),
        })  # fmt: skip

    def release_all(self) -> None:
        """Hand over all roles, as this process drains or ends."""
        for role in ROLES:
            self._handle(leases.HandoverRequested(role))

    def hand_over(self, query: str) -> AdminReply:
        """Hand over a role to the named member, or to any."""
        parameters = {name: values[0] for name, values in parse_qs(query).items()}
        role, recipient = parameters.get("duty", ""), parameters.get("to", "")
        if role not in ROLES:
            return error_reply(400, f"unknown duty {role!r}; the duties are {', '.join(ROLES)}")
        if recipient and recipient != self._name and recipient not in self._peers.core.view.alive:
            return error_reply(400, f"no live member {recipient!r}")
        if not self.holds(role):
            owner = self._claims.get(role, ("", 0))[0]
            return error_reply(409, f"{self._name} does not hold {role}", holder=owner)
        self._handle(leases.HandoverRequested(role, recipient))
        return AdminReply(200, {"duty": role, "to": recipient})

    def status(self) -> AdminReply:
        """Return the status of the roles for the admin endpoint."""
        now = self._now()
        core = self.core
        roles: list[JsonObject] = []
        for role in ROLES:
            candidate = core.candidates[role] if core is not None else None
            holds_role = core is not None and core.holds(role, now)
            owner, token = self._claims.get(role, ("", 0))
            row = {"duty": role, "holder": owner, "token": token, "here": holds_role}
            if candidate is not None and holds_role:
                row["remaining_s"] = round((candidate.expires_ms - now) / 1000.0, 2)
            elif candidate is not None and not owner:
                row["why"] = candidate.reason
            roles.append(row)
        voter = core.member.acceptor if core is not None else None
        return AdminReply(
            200,
            {
                "self": self._name,
                "voters": list(core.voters.names) if core is not None else self._voters,
                "votes": voter is not None and voter.may_vote(now),
                "duties": roles,
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
            },
        )

    def close(self) -> None:
        """Ignore all further events."""
        self._closed = True


def _number(value: bytes) -> float | None:
    """Parse a limit, a finite number that is not negative; None if it is invalid."""
    try:
        found = float(value)
    except ValueError:
        return None
    return found if 0.0 <= found < math.inf else None


def _voters(value: MetadataValue | None) -> leases.VoterSet | None:
    """Parse the voters in a member's metadata; None if there are none."""
    epoch, _, names = str(value or "").partition(" ")
    return leases.VoterSet(int(epoch), tuple(names.split(","))) if epoch.isdecimal() and names else None


def _epoch(voters: leases.VoterSet | None) -> int:
    return voters.epoch if voters is not None else 0


def _wall_ms() -> int:
    return int(time.time() * 1000.0)
