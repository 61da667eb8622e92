"""The fleet on sockets: hosts membership, and turns what it says into the node's own terms.

Imported only where the configuration has a `fleet` object. Whatever fails here is counted and logged, and
the node serves on by its own knowledge: no request waits for anything in this file.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, cast

from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import Event, Settings
from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells.messages import Message as CellMessage
from dunlinloft.fleet.cells.partition import CellPartition
from dunlinloft.fleet.leases import messages as duties
from dunlinloft.fleet.leases.table_rows import STATE_TABLE_ROLE
from dunlinloft.fleet.member_count import MemberCount
from dunlinloft.fleet.membership.core import Membership
from dunlinloft.fleet.messages import (
    STATUS_NAMES,
    Ack,
    ApplicationMessage,
    Message,
    MetadataValue,
    Ping,
    State,
)
from dunlinloft.fleet.releases.controller import EVALUATION_INTERVAL_MS
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.shared_state.core import RELEASES
from dunlinloft.fleet.wire import MAX_STATE_BYTES, MessageRejected, RejectReason, Wire
from dunlinloft.node import VERSION, logs
from dunlinloft.node.addresses import Address, parse_address
from dunlinloft.node.admin_reply import AdminReply, error_reply
from dunlinloft.node.clock import now_ms
from dunlinloft.node.config import Config
from dunlinloft.node.fleet.releases import Releases
from dunlinloft.node.fleet.shared import SharedHost
from dunlinloft.node.fleet.singleton_roles import RoleHost
from dunlinloft.node.fleet_config import FleetConfig

if TYPE_CHECKING:
    from dunlinloft.fleet.cells.member_count import CellMemberCount
    from dunlinloft.node.fleet.cells import CellHost

SOCKETS = 28  # of the node's limit: two of its own, and what follows
MOST_IN, MOST_OUT = 16, 8  # streams at a time
WHOLE_S = 2.5  # for a stream to come whole; a peer that says nothing is closed within 3 s
CALL_S = 1.5  # for an exchange or a probe over a stream
BIND_AGAIN_S = 0.2  # while the address is another process's, as at an upgrade
COUNT_S = 1.0  # how often it is looked at who counts, and what the rates are
LOAD_S = 10.0  # how often the load is told, where it has changed
GOODBYE_S = 0.1  # between saying goodbye and closing the socket
STATE, PROBE = b"S", b"P"  # what a stream begins with
RECORDED_MS = 3_600_000.0  # how long one that left is shown


def of_tier(members: Membership, tier: float) -> set[str]:
    """Those there that send to the same tier, this process too: they part its budgets."""
    here = {m.name for m in members.view.members.values() if m.is_alive() and m.metadata.get("tier") == tier}
    return here | {members.name}


@dataclass(slots=True)
class Own:
    """Who this process is among the others."""

    name: str
    seed: int
    zone: str = ""
    tier: int = 0
    number: int = 0
    nodes: int = 1

    @classmethod
    def of(cls, config: Config) -> Own:
        """A node, by its configuration."""
        settings = config.settings
        return cls(
            config.name, config.seed, settings.zone, settings.tier, settings.replica_index, settings.replicas
        )  # fmt: skip


class _Ear(asyncio.DatagramProtocol):
    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self._peers.received(data, sender)

    def error_received(self, exc: Exception) -> None:
        self._peers.counts["unsent"] += 1


class Peers:
    """This process among the members of its fleet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own: Own,
        fleet: FleetConfig,
        placed: Callable[[int, int], None],
        load: Callable[[], int],
        balancer: Balancer | None = None,
        told: Callable[[Event], None] = lambda event: None,
        settings: Settings | None = None,
    ) -> None:
        self._loop, self._fleet, self._placed, self._load = loop, fleet, placed, load
        self._flat = Wire(fleet.name)
        # A life begins with the process: by the wall's clock, corrected by what others remember of us.
        wall_ms = int(time.time() * 1000.0)
        rng = random.Random(own.seed)
        facts: dict[str, MetadataValue] = {
            "zone": own.zone, "tier": float(own.tier), "program": VERSION,
            "number": float(own.number), "load": 0.0, "draining": False,
        }  # fmt: skip
        uid = wall_ms << 16 | rng.getrandbits(16)
        self.cells: CellHost | None = None
        self.core: Membership
        self.member_count: MemberCount | CellMemberCount
        if fleet.cells is not None:
            from dunlinloft.node.fleet.cells import CellHost

            self.cells = CellHost(own, fleet, fleet.cells, uid, wall_ms, rng, facts)
            self.core, self.member_count = self.cells.core, self.cells.member_count
        else:
            self.core = Membership(own.name, fleet.advertise, fleet.seeds, uid, wall_ms, rng, facts)
            self.member_count = MemberCount(own.name, own.number, own.nodes)
        self._tier = float(own.tier)
        # Who else wants what comes; and who wants datagrams that are not for the members.
        self.listeners: list[Callable[[Message], None]] = []
        self.aside: Callable[[bytes, str], bool] = lambda data, source: False
        self.work: RoleHost | None = None
        if fleet.voters:
            self.work = RoleHost(loop, self, own.name, own.zone, fleet.voters, rng)
            self.listeners.append(self.work.on_message)
        self.shared: SharedHost | None = None
        if fleet.share and balancer is not None and settings is not None:
            self.shared = SharedHost(loop, self, fleet, settings, balancer, told, rng)
            self.listeners.append(self.shared.on_message)
            if self.work is not None:
                self.work.on_limits_read = self.shared.on_operator_limits
        self.releases: Releases | None = None
        if self.shared is not None and self.work is not None and RELEASES in fleet.share:
            work = self.work
            self.releases = Releases(
                self.shared.core,
                work.writes,
                self.shared.on_release_order,
                lambda: work.owner_of(STATE_TABLE_ROLE),
                now_ms,
            )
            self.work.on_open, self.work.on_close = (
                self.releases.on_table_opened,
                self.releases.on_table_closed,
            )
        self._udp: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._in = self._out = 0
        self._over = False
        self._place = own.number, own.nodes
        self._rates = (0.0, 0.0)
        self._seen = (0, 0, loop.time())
        self.counts = dict.fromkeys(
            (
                "sent", "received", "sent_bytes", "received_bytes", "refused", "unsent", "errors", "streams",
                "stream_bytes",
            ),
            0,
        )  # fmt: skip
        self.reasons: dict[str, int] = {}

    def start(self) -> None:
        """Join, as soon as the address is to be had."""
        self._spawn(self._begin())

    async def _begin(self) -> None:
        host, port = parse_address(self._fleet.bind)
        told = False
        while True:
            try:
                # First the one that is refused while another process has the address.
                self._server = await asyncio.start_server(
                    self._serve, host, port, limit=MAX_STATE_BYTES + 1024
                )
                transport, _ = await self._loop.create_datagram_endpoint(
                    lambda: _Ear(self), local_addr=(host, port)
                )
            except OSError as problem:
                if self._server is not None:
                    self._server.close()
                if not told:
                    logs.info(
                        "fleet waits", "the fleet's address is not to be had: %(why)s", why=str(problem)
                    )
                    told = True
                await asyncio.sleep(BIND_AGAIN_S)
                continue
            break
        self._udp = transport
        logs.info("fleet", "a member of %(fleet)s at %(bind)s", fleet=self._fleet.name, bind=self._fleet.bind)
        self.handle(api.Started())
        if self.work is not None:
            self.work.begin()
        if self.shared is not None:
            self.shared.begin()
        self._loop.call_later(COUNT_S, self._count)
        self._loop.call_later(LOAD_S, self._tell_load)
        if self.releases is not None:
            self._loop.call_later(EVALUATION_INTERVAL_MS / 1000.0, self._look)

    def _look(self) -> None:
        """Let the steward of releases look, if that is this process."""
        if self._over or self.releases is None or self.work is None:
            return
        try:
            self.releases.tick(self.work.holds(STATE_TABLE_ROLE))
        except Exception:
            self.counts["errors"] += 1
            logs.exception("fleet error", "the releases' part")
        self._loop.call_later(EVALUATION_INTERVAL_MS / 1000.0, self._look)

    def releases_status(self) -> AdminReply:
        """All that the admin endpoint tells of releases."""
        if self.releases is None or self.shared is None:
            return error_reply(404, "no such path")
        return AdminReply(200, self.releases.status(self.shared.classes()))

    def handle(self, event: api.Event) -> None:
        """Give the core an event and do what it says; an error here is the fleet's and not the node's."""
        if self._over:
            return
        try:
            actions = self.core.handle(event, now_ms())
            for action in actions:
                self._do(action)
            # Once for all that one event has changed: a whole view that comes in changes every member.
            if any(isinstance(action, api.MemberChanged) for action in actions):
                self._recount()
        except Exception:
            self.counts["errors"] += 1
            logs.exception("fleet error", "the fleet's part, handling %(what)s", what=type(event).__name__)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.SendDatagram():
                self.send(self._write(action.message), action.address)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self.handle, api.TimerFired(action.token))
            case api.PushPull():
                self._call(action.address, self._exchange(action))
            case api.ProbeOverStream():
                self._call(action.address, self._probe(action))
            case api.MemberChanged():
                if self.cells is not None and action.change is api.MemberChange.CELL:
                    self.cells.on_partition_changed()
            case api.LogEvent():
                text = "fleet: " + ", ".join(f"{name} %({name})s" for name in action.fields)
                logs.info(f"fleet {action.event}", text, **action.fields)

    # Datagrams

    def send(self, data: bytes, target: str) -> None:
        """Send a datagram; one that can't be sent is counted."""
        if self._udp is None or self._udp.is_closing():
            return
        try:
            self._udp.sendto(data, parse_address(target))
        except (OSError, ValueError):
            self.counts["unsent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)

    def received(self, data: bytes, sender: Address) -> None:
        """A datagram has come, from anybody."""
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        source = f"{sender[0]}:{sender[1]}"
        if self.aside(data, source):
            return
        try:
            message, cut = self._read(data)
        except MessageRejected as reason:
            return self.refuse(str(reason))
        self.handle(api.MessageReceived(message, source, cut))
        if not self.core.muted and not isinstance(message, CellMessage):
            for heard in self.listeners:
                heard(message)

    # Bytes, of a flat fleet or of one with cells

    def _write(self, message: api.AnyMessage) -> bytes:
        if self.cells is not None:
            return self.cells.wire.write(message)
        return self._flat.write(cast(Message, message))  # a flat core says nothing else

    def _read(self, data: bytes) -> tuple[api.AnyMessage, CellPartition | None]:
        return self.cells.wire.read(data) if self.cells is not None else (self._flat.read(data), None)

    def _write_state(self, state: State) -> bytes:
        return (self.cells.wire if self.cells is not None else self._flat).write_state(state)

    def _read_state(self, data: bytes) -> tuple[State, CellPartition | None]:
        if self.cells is not None:
            return self.cells.wire.read_state(data)
        return self._flat.read_state(data), None

    def refuse(self, reason: str) -> None:
        """Count what says nothing to this process."""
        self.counts["refused"] += 1
        self.reasons[reason] = self.reasons.get(reason, 0) + 1

    # Streams

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _call(self, target: str, work: Coroutine[Any, Any, None]) -> None:
        if self._out >= MOST_OUT or self._over:
            work.close()
            self.counts["unsent"] += 1
            return
        self._out += 1
        self._spawn(work)

    async def _open(self, target: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        local = (parse_address(self._fleet.bind)[0], 0)
        self.counts["streams"] += 1
        return await asyncio.open_connection(
            *parse_address(target), local_addr=local, limit=MAX_STATE_BYTES + 1024
        )

    async def _exchange(self, action: api.PushPull) -> None:
        data = await self._ask(action.address, STATE, self._write_state(action.state))
        if data is None:
            return self.handle(api.PushPullFailed(action.address))
        try:
            state, cut = self._read_state(data)
        except MessageRejected as reason:
            self.refuse(str(reason))
            return self.handle(api.PushPullFailed(action.address))
        self.handle(api.PushPullReceived(state, action.address, True, cut))

    async def _probe(self, action: api.ProbeOverStream) -> None:
        ping = Ping(self.core.header(), action.number, "", [])
        data = await self._ask(action.address, PROBE, self._write(ping))
        if data is None:
            return
        try:
            message, _ = self._read(data)
        except MessageRejected as reason:
            return self.refuse(str(reason))
        if isinstance(message, Ack):
            self.handle(api.StreamProbeAcked(action.number, message.target, message.incarnation))

    async def _ask(self, target: str, kind: bytes, data: bytes) -> bytes | None:
        """Say something over a stream; the answer, or None where there is none in time."""
        writer = None
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await self._open(target)
                self._pour(writer, kind + len(data).to_bytes(4, "big") + data)
                size = int.from_bytes(await reader.readexactly(4), "big")
                return await reader.readexactly(size) if size <= MAX_STATE_BYTES else None
        except (OSError, TimeoutError, EOFError, ValueError):
            return None
        finally:
            self._out -= 1
            if writer is not None:
                writer.close()

    def _pour(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.counts["stream_bytes"] += len(data)
        writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a peer, or whoever connects: within `WHOLE_S` it has asked, or it is closed."""
        if self._in >= MOST_IN:
            self.refuse("crowd")
            return writer.close()
        self._in += 1
        try:
            async with asyncio.timeout(WHOLE_S):
                kind = await reader.readexactly(1)
                size = int.from_bytes(await reader.readexactly(4), "big")
                if kind not in (STATE, PROBE) or size > MAX_STATE_BYTES:
                    raise MessageRejected(
                        RejectReason.FOREIGN if size <= MAX_STATE_BYTES else RejectReason.LONG
                    )
                answer = self._answer(kind, await reader.readexactly(size), writer)
                self._pour(writer, len(answer).to_bytes(4, "big") + answer)
                await writer.drain()
        except MessageRejected as reason:
            self.refuse(str(reason))
        except (OSError, TimeoutError, EOFError):
            self.refuse("short")
        finally:
            self._in -= 1
            writer.close()

    def _answer(self, kind: bytes, data: bytes, writer: asyncio.StreamWriter) -> bytes:
        if kind == PROBE:
            message, _ = self._read(data)
            number = message.number if isinstance(message, Ping) else 0
            return self._write(Ack(self.core.header(), number, self.core.name, self.core.incarnation, []))
        state, cut = self._read_state(data)
        answer = self._write_state(self.core.state_for(state))
        sender = next((r.address for r in state.records if r.name == state.header.name), "")
        self.handle(api.PushPullReceived(state, sender, False, cut))
        return answer

    # What the node takes from it

    def _recount(self) -> None:
        here = of_tier(self.core, self._tier)
        if self.cells is not None:
            self.cells.observe_members(here, now_ms())
        else:
            self.member_count.observe(here, now_ms())
        place = self.member_count.position()
        if place != self._place:
            self._place = place
            logs.info("place", "number %(number)d of %(nodes)d now", number=place[0], nodes=place[1])
            self._placed(*place)

    def told(self, number: int, nodes: int) -> None:
        """The file has new settings; what is in force follows from both."""
        self.member_count.reconfigure(number, nodes)
        self._place = number, nodes
        self._recount()

    def _count(self) -> None:
        if self._over:
            return
        self._recount()
        now, (messages, size, before) = self._loop.time(), self._seen
        self._seen = self.counts["sent"], self.counts["sent_bytes"], now
        passed = max(1e-3, now - before)
        self._rates = (self._seen[0] - messages) / passed, (self._seen[1] - size) / passed
        self._loop.call_later(COUNT_S, self._count)

    def _tell_load(self) -> None:
        if not self._over:
            # To the nearest power of two: news of the load costs all members, so only great changes are news.
            load = self._load()
            self.handle(api.MetadataUpdated({"load": float(1 << load.bit_length() >> 1)}))
            self._loop.call_later(LOAD_S, self._tell_load)

    def drain(self, draining: bool) -> None:
        """Let others know; who drains holds no duty."""
        self.handle(api.MetadataUpdated({"draining": draining}))
        if draining and self.work is not None:
            self.work.release_all()

    def depart(self, handing_over: bool) -> None:
        """The process goes: another of this node goes on as this member, or all are told."""
        if self._over:
            return
        if self.work is not None:
            self.work.release_all()
        if not handing_over:
            self.handle(api.LeaveRequested())
        self._over = True
        if self._server is not None:
            self._server.close()
        self._loop.call_later(0.0 if handing_over else GOODBYE_S, self._close)

    def _close(self) -> None:
        if self._udp is not None:
            self._udp.close()
        if self.shared is not None:
            self.shared.close()
        for task in self._tasks:
            task.cancel()

    def send_to_member(self, name: str, content: duties.Message | shared.Message) -> None:
        """Say something about a duty or shared state to a member, or of a duty to this process itself."""
        if name == self.core.name:
            if self.work is not None and isinstance(content, duties.Message):
                self._loop.call_soon(self.work.on_content, content, name)
            return
        member = self.core.view.get(name)
        if member is not None and member.is_alive() and not self.core.muted:
            self.send(self._write(ApplicationMessage(self.core.header(), content, [])), member.address)

    def request_view(self, name: str) -> None:
        """Have a member say which view it holds: its answer tells."""
        member = self.core.view.get(name)
        if member is not None and not self.core.muted:
            self.send(self._write(Ping(self.core.header(), 0, name, [])), member.address)

    # What operators see

    def figures(self) -> dict[str, Callable[[], int]]:
        """Gauges beside the node's own."""
        core = self.core
        more = self.shared.figures() if self.shared is not None else {}
        more |= self.cells.figures() if self.cells is not None else {}
        return more | {
            "fleet_members": core.alive_count,
            "fleet_suspects": lambda: sum(m.status == 1 for m in core.view.members.values()),
            "fleet_divergent": lambda: core.divergence(now_ms())[0],
            "fleet_health": lambda: core.health.score,
            "fleet_nodes": lambda: self._place[1],
            "fleet_conflicts": lambda: core.name_conflicts,
            "fleet_refused": lambda: self.counts["refused"],
            "fleet_errors": lambda: self.counts["errors"],
            "fleet_sent_bytes": lambda: self.counts["sent_bytes"],
        }

    def status(self) -> AdminReply:
        """All that the admin endpoint tells of the fleet."""
        core, now = self.core, now_ms()
        differ, longest = core.divergence(now)
        members = [
            {
                "name": m.name,
                "state": STATUS_NAMES[m.status],
                "life": m.incarnation,
                "revision": m.revision,
                "since_s": round((now - m.status_since_ms) / 1000.0, 1),
                "address": m.address,
                "accusers": m.suspected_by,
                "rtt_ms": round(m.smoothed_rtt_ms(), 2),
                "agrees": m.diverged_since_ms < 0.0,
                "facts": m.metadata,
            }
            for m in sorted(core.view.members.values(), key=lambda m: m.name)
            if m.is_alive() or now - m.status_since_ms < RECORDED_MS
        ]
        return AdminReply(200, {
            "fleet": self._fleet.name,
            "self": {
                "name": core.name,
                "state": "quiet" if core.muted else STATUS_NAMES[core.status],
                "life": core.incarnation,
                "revision": core.revision,
                "address": core.address,
                "digest": f"{core.digest():x}",
                "rival": core.conflicting_address,
            },
            "members_alive": core.alive_count(),
            "place": {"number": self._place[0], "nodes": self._place[1]},
            "divergence": {"members": differ, "longest_s": round(longest / 1000.0, 1)},
            "health": core.health.score,
            "refuted": core.refutations, "buried": core.deaths_declared, "conflicts": core.name_conflicts,
            "messages_s": round(self._rates[0], 1), "bytes_s": round(self._rates[1], 1),
            "counts": self.counts, "refused_for": self.reasons, "members": members,
        })  # fmt: skip
