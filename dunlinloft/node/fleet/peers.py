"""Hosts the fleet's membership protocol on sockets, and passes its results on to the node.

Imported only if the configuration has a `fleet` object. A failure in here is counted and logged, and the node
goes on serving with its local knowledge: no request waits for anything in this module.
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
from dunlinloft.fleet.leases import messages as leases
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

FLEET_SOCKETS = 28  # of the node's limit: listener, datagram socket and the streams below
MAX_INBOUND_STREAMS, MAX_OUTBOUND_STREAMS = 16, 8  # at a time
INBOUND_TIMEOUT_S = 2.5  # for a complete request on a stream; a silent peer must be closed within 3 s
OUTBOUND_TIMEOUT_S = 1.5  # for a push-pull exchange or a probe over a stream
BIND_RETRY_S = 0.2  # while another process holds the address, as during an upgrade
COUNT_INTERVAL_S = 1.0  # between updates of the member count and the send rates
LOAD_INTERVAL_S = 10.0  # between publications of the load
LEAVE_GRACE_S = 0.1  # between the leave messages and the close of the socket
PUSH_PULL_STREAM, PROBE_STREAM = b"S", b"P"  # first byte of a stream
DEPARTED_RETENTION_MS = 3_600_000.0  # how long the status shows members that left


def alive_in_tier(members: Membership, tier: float) -> set[str]:
    """Return the members alive that send to this tier, with this process: they share its budgets."""
    alive = {m.name for m in members.view.members.values() if m.is_alive() and m.metadata.get("tier") == tier}
    return alive | {members.name}


@dataclass(slots=True)
class MemberIdentity:
    """Identity of this process in its fleet, and its configured position."""

    name: str
    seed: int
    zone: str = ""
    tier: int = 0
    number: int = 0
    nodes: int = 1

    @classmethod
    def from_config(cls, config: Config) -> MemberIdentity:
        """Return the identity of a node with this configuration."""
        settings = config.settings
        return cls(
            config.name, config.seed, settings.zone, settings.tier, settings.replica_index, settings.replicas
        )  # fmt: skip


class _DatagramProtocol(asyncio.DatagramProtocol):
    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    def datagram_received(self, data: bytes, sender: Address) -> None:
        self._peers.on_datagram(data, sender)

    def error_received(self, exc: Exception) -> None:
        self._peers.counts["unsent"] += 1


class Peers:
    """Connects this process with the other members of its fleet."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        identity: MemberIdentity,
        fleet: FleetConfig,
        on_position_changed: Callable[[int, int], None],
        load: Callable[[], int],
        balancer: Balancer | None = None,
        notify_balancer: Callable[[Event], None] = lambda event: None,
        settings: Settings | None = None,
    ) -> None:
        self._loop, self._fleet, self._on_position_changed, self._load = (
            loop,
            fleet,
            on_position_changed,
            load,
        )
        self._flat_wire = Wire(fleet.name)
        # The incarnation is the start time; membership raises it if peers remember a higher one.
        wall_ms = int(time.time() * 1000.0)
        rng = random.Random(identity.seed)
        metadata: dict[str, MetadataValue] = {
            "zone": identity.zone, "tier": float(identity.tier), "program": VERSION,
            "number": float(identity.number), "load": 0.0, "draining": False,
        }  # fmt: skip
        uid = wall_ms << 16 | rng.getrandbits(16)
        self.cells: CellHost | None = None
        self.core: Membership
        self.member_count: MemberCount | CellMemberCount
        if fleet.cells is not None:
            from dunlinloft.node.fleet.cells import CellHost

            self.cells = CellHost(identity, fleet, fleet.cells, uid, wall_ms, rng, metadata)
            self.core, self.member_count = self.cells.core, self.cells.member_count
        else:
            self.core = Membership(identity.name, fleet.advertise, fleet.seeds, uid, wall_ms, rng, metadata)
            self.member_count = MemberCount(identity.name, identity.number, identity.nodes)
        self._tier = float(identity.tier)
        # Further consumers of messages, and a filter that takes datagrams of another protocol.
        self.message_listeners: list[Callable[[Message], None]] = []
        self.intercept_datagram: Callable[[bytes, str], bool] = lambda data, source: False
        self.roles: RoleHost | None = None
        if fleet.voters:
            self.roles = RoleHost(loop, self, identity.name, identity.zone, fleet.voters, rng)
            self.message_listeners.append(self.roles.on_message)
        self.shared: SharedHost | None = None
        if fleet.share and balancer is not None and settings is not None:
            self.shared = SharedHost(loop, self, fleet, settings, balancer, notify_balancer, rng)
            self.message_listeners.append(self.shared.on_message)
            if self.roles is not None:
                self.roles.on_limits_read = self.shared.on_operator_limits
        self.releases: Releases | None = None
        if self.shared is not None and self.roles is not None and RELEASES in fleet.share:
            roles = self.roles
            self.releases = Releases(
                self.shared.core,
                roles.writes,
                self.shared.on_release_order,
                lambda: roles.owner_of(STATE_TABLE_ROLE),
                now_ms,
            )
            self.roles.on_open, self.roles.on_close = (
                self.releases.on_table_opened,
                self.releases.on_table_closed,
            )
        self._udp: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._inbound_streams = self._outbound_streams = 0
        self._closed = False
        self._position = identity.number, identity.nodes
        self._send_rates = (0.0, 0.0)
        self._last_sent = (0, 0, loop.time())
        self.counts = dict.fromkeys(
            (
                "sent", "received", "sent_bytes", "received_bytes", "refused", "unsent", "errors", "streams",
                "stream_bytes",
            ),
            0,
        )  # fmt: skip
        self.rejection_counts: dict[str, int] = {}

    def start(self) -> None:
        """Join the fleet as soon as the address can be bound."""
        self._spawn(self._bind_and_start())

    async def _bind_and_start(self) -> None:
        host, port = parse_address(self._fleet.bind)
        reported = False
        while True:
            try:
                # The listener first: binding it fails while another process has the address.
                self._server = await asyncio.start_server(
                    self._serve_stream, host, port, limit=MAX_STATE_BYTES + 1024
                )
                transport, _ = await self._loop.create_datagram_endpoint(
                    lambda: _DatagramProtocol(self), local_addr=(host, port)
                )
            except OSError as error:
                if self._server is not None:
                    self._server.close()
                if not reported:
                    logs.info("fleet waits", "can't bind the fleet's address yet: %(why)s", why=str(error))
                    reported = True
                await asyncio.sleep(BIND_RETRY_S)
                continue
            break
        self._udp = transport
        logs.info(
            "fleet", "joining fleet %(fleet)s at %(bind)s", fleet=self._fleet.name, bind=self._fleet.bind
        )
        self.handle(api.Started())
        if self.roles is not None:
            self.roles.begin()
        if self.shared is not None:
            self.shared.begin()
        self._loop.call_later(COUNT_INTERVAL_S, self._update_counts)
        self._loop.call_later(LOAD_INTERVAL_S, self._publish_load)
        if self.releases is not None:
            self._loop.call_later(EVALUATION_INTERVAL_MS / 1000.0, self._tick_releases)

    def _tick_releases(self) -> None:
        """Run the release controller, if this process holds the state table."""
        if self._closed or self.releases is None or self.roles is None:
            return
        try:
            self.releases.tick(self.roles.holds(STATE_TABLE_ROLE))
        except Exception:
            self.counts["errors"] += 1
            logs.exception("fleet error", "running the release controller")
        self._loop.call_later(EVALUATION_INTERVAL_MS / 1000.0, self._tick_releases)

    def releases_status(self) -> AdminReply:
        """Return the status of releases for the admin endpoint."""
        if self.releases is None or self.shared is None:
            return error_reply(404, "no such path")
        return AdminReply(200, self.releases.status(self.shared.classes()))

    def handle(self, event: api.Event) -> None:
        """Pass an event to the membership core and perform its actions; the node survives any error."""
        if self._closed:
            return
        try:
            actions = self.core.handle(event, now_ms())
            for action in actions:
                self._perform(action)
            # Once for all changes of one event: a received view may change every member.
            if any(isinstance(action, api.MemberChanged) for action in actions):
                self._update_member_count()
        except Exception:
            self.counts["errors"] += 1
            logs.exception("fleet error", "membership: handling %(what)s", what=type(event).__name__)

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.SendDatagram():
                self.send(self._write(action.message), action.address)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self.handle, api.TimerFired(action.token))
            case api.PushPull():
                self._start_call(action.address, self._push_pull(action))
            case api.ProbeOverStream():
                self._start_call(action.address, self._probe(action))
            case api.MemberChanged():
                if self.cells is not None and action.change is api.MemberChange.CELL:
                    self.cells.on_partition_changed()
            case api.LogEvent():
                text = "fleet: " + ", ".join(f"{name} %({name})s" for name in action.fields)
                logs.info(f"fleet {action.event}", text, **action.fields)

    # Datagrams

    def send(self, data: bytes, target: str) -> None:
        """Send a datagram; failures are counted."""
        if self._udp is None or self._udp.is_closing():
            return
        try:
            self._udp.sendto(data, parse_address(target))
        except (OSError, ValueError):
            self.counts["unsent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)

    def on_datagram(self, data: bytes, sender: Address) -> None:
        """Handle a received datagram, which may come from anyone."""
        self.counts["received"] += 1
        self.counts["received_bytes"] += len(data)
        source = f"{sender[0]}:{sender[1]}"
        if self.intercept_datagram(data, source):
            return
        try:
            message, partition = self._read(data)
        except MessageRejected as reason:
            return self.count_rejection(str(reason))
        self.handle(api.MessageReceived(message, source, partition))
        if not self.core.muted and not isinstance(message, CellMessage):
            for listener in self.message_listeners:
                listener(message)

    # Encoding, for a flat fleet or one with cells

    def _write(self, message: api.AnyMessage) -> bytes:
        if self.cells is not None:
            return self.cells.wire.write(message)
        return self._flat_wire.write(cast(Message, message))  # a flat core sends no other type

    def _read(self, data: bytes) -> tuple[api.AnyMessage, CellPartition | None]:
        return self.cells.wire.read(data) if self.cells is not None else (self._flat_wire.read(data), None)

    def _write_state(self, state: State) -> bytes:
        return (self.cells.wire if self.cells is not None else self._flat_wire).write_state(state)

    def _read_state(self, data: bytes) -> tuple[State, CellPartition | None]:
        if self.cells is not None:
            return self.cells.wire.read_state(data)
        return self._flat_wire.read_state(data), None

    def count_rejection(self, reason: str) -> None:
        """Count a rejected message or stream by its reason."""
        self.counts["refused"] += 1
        self.rejection_counts[reason] = self.rejection_counts.get(reason, 0) + 1

    # Streams

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_call(self, target: str, coroutine: Coroutine[Any, Any, None]) -> None:
        if self._outbound_streams >= MAX_OUTBOUND_STREAMS or self._closed:
            coroutine.close()
            self.counts["unsent"] += 1
            return
        self._outbound_streams += 1
        self._spawn(coroutine)

    async def _open(self, target: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        local = (parse_address(self._fleet.bind)[0], 0)
        self.counts["streams"] += 1
        return await asyncio.open_connection(
            *parse_address(target), local_addr=local, limit=MAX_STATE_BYTES + 1024
        )

    async def _push_pull(self, action: api.PushPull) -> None:
        data = await self._call_peer(action.address, PUSH_PULL_STREAM, self._write_state(action.state))
        if data is None:
            return self.handle(api.PushPullFailed(action.address))
        try:
            state, partition = self._read_state(data)
        except MessageRejected as reason:
            self.count_rejection(str(reason))
            return self.handle(api.PushPullFailed(action.address))
        self.handle(api.PushPullReceived(state, action.address, True, partition))

    async def _probe(self, action: api.ProbeOverStream) -> None:
        ping = Ping(self.core.header(), action.number, "", [])
        data = await self._call_peer(action.address, PROBE_STREAM, self._write(ping))
        if data is None:
            return
        try:
            message, _ = self._read(data)
        except MessageRejected as reason:
            return self.count_rejection(str(reason))
        if isinstance(message, Ack):
            self.handle(api.StreamProbeAcked(action.number, message.target, message.incarnation))

    async def _call_peer(self, target: str, kind: bytes, data: bytes) -> bytes | None:
        """Send a request over a stream; return the response, or None on failure or timeout."""
        writer = None
        try:
            async with asyncio.timeout(OUTBOUND_TIMEOUT_S):
                reader, writer = await self._open(target)
                self._write_counted(writer, kind + len(data).to_bytes(4, "big") + data)
                size = int.from_bytes(await reader.readexactly(4), "big")
                return await reader.readexactly(size) if size <= MAX_STATE_BYTES else None
        except (OSError, TimeoutError, EOFError, ValueError):
            return None
        finally:
            self._outbound_streams -= 1
            if writer is not None:
                writer.close()

    def _write_counted(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.counts["stream_bytes"] += len(data)
        writer.write(data)

    async def _serve_stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request of whoever connects; it must be complete within `INBOUND_TIMEOUT_S`."""
        if self._inbound_streams >= MAX_INBOUND_STREAMS:
            self.count_rejection("crowd")
            return writer.close()
        self._inbound_streams += 1
        try:
            async with asyncio.timeout(INBOUND_TIMEOUT_S):
                kind = await reader.readexactly(1)
                size = int.from_bytes(await reader.readexactly(4), "big")
                if kind not in (PUSH_PULL_STREAM, PROBE_STREAM) or size > MAX_STATE_BYTES:
                    raise MessageRejected(
                        RejectReason.FOREIGN if size <= MAX_STATE_BYTES else RejectReason.LONG
                    )
                answer = self._respond(kind, await reader.readexactly(size), writer)
                self._write_counted(writer, len(answer).to_bytes(4, "big") + answer)
                await writer.drain()
        except MessageRejected as reason:
            self.count_rejection(str(reason))
        except (OSError, TimeoutError, EOFError):
            self.count_rejection("short")
        finally:
            self._inbound_streams -= 1
            writer.close()

    def _respond(self, kind: bytes, data: bytes, writer: asyncio.StreamWriter) -> bytes:
        if kind == PROBE_STREAM:
            message, _ = self._read(data)
            number = message.number if isinstance(message, Ping) else 0
            return self._write(Ack(self.core.header(), number, self.core.name, self.core.incarnation, []))
        state, partition = self._read_state(data)
        answer = self._write_state(self.core.state_for(state))
        sender = next((r.address for r in state.records if r.name == state.header.name), "")
        self.handle(api.PushPullReceived(state, sender, False, partition))
        return answer

    # Position in the fleet, load and state of this process

    def _update_member_count(self) -> None:
        alive = alive_in_tier(self.core, self._tier)
        if self.cells is not None:
            self.cells.observe_members(alive, now_ms())
        else:
            self.member_count.observe(alive, now_ms())
        position = self.member_count.position()
        if position != self._position:
            self._position = position
            logs.info("place", "position %(number)d of %(nodes)d", number=position[0], nodes=position[1])
            self._on_position_changed(*position)

    def on_settings_changed(self, number: int, nodes: int) -> None:
        """Take over the configured position; the one in force depends on it and on the members."""
        self.member_count.reconfigure(number, nodes)
        self._position = number, nodes
        self._update_member_count()

    def _update_counts(self) -> None:
        if self._closed:
            return
        self._update_member_count()
        now, (messages, size, before) = self._loop.time(), self._last_sent
        self._last_sent = self.counts["sent"], self.counts["sent_bytes"], now
        passed = max(1e-3, now - before)
        self._send_rates = (self._last_sent[0] - messages) / passed, (self._last_sent[1] - size) / passed
        self._loop.call_later(COUNT_INTERVAL_S, self._update_counts)

    def _publish_load(self) -> None:
        if not self._closed:
            # Rounded to a power of two: each change is sent to all members, so small ones are suppressed.
            load = self._load()
            self.handle(api.MetadataUpdated({"load": float(1 << load.bit_length() >> 1)}))
            self._loop.call_later(LOAD_INTERVAL_S, self._publish_load)

    def set_draining(self, draining: bool) -> None:
        """Publish whether this process drains; a draining member gives up its roles."""
        self.handle(api.MetadataUpdated({"draining": draining}))
        if draining and self.roles is not None:
            self.roles.release_all()

    def leave_fleet(self, handing_over: bool) -> None:
        """Stop taking part; the members are told unless another process of this node takes over."""
        if self._closed:
            return
        if self.roles is not None:
            self.roles.release_all()
        if not handing_over:
            self.handle(api.LeaveRequested())
        self._closed = True
        if self._server is not None:
            self._server.close()
        self._loop.call_later(0.0 if handing_over else LEAVE_GRACE_S, self._close)

    def _close(self) -> None:
        if self._udp is not None:
            self._udp.close()
        if self.shared is not None:
            self.shared.close()
        for task in self._tasks:
            task.cancel()

    def send_to_member(self, name: str, content: leases.Message | shared.Message) -> None:
        """Send a message about leases or shared state to a member; this process gets those on leases only."""
        if name == self.core.name:
            if self.roles is not None and isinstance(content, leases.Message):
                self._loop.call_soon(self.roles.on_content, content, name)
            return
        member = self.core.view.get(name)
        if member is not None and member.is_alive() and not self.core.muted:
            self.send(self._write(ApplicationMessage(self.core.header(), content, [])), member.address)

    def request_view(self, name: str) -> None:
        """Ping a member: the acknowledgement carries the digest of its view."""
        member = self.core.view.get(name)
        if member is not None and not self.core.muted:
            self.send(self._write(Ping(self.core.header(), 0, name, [])), member.address)

    # Metrics and status for operators

    def gauges(self) -> dict[str, Callable[[], int]]:
        """Return the fleet's gauges by name."""
        core = self.core
        more = self.shared.gauges() if self.shared is not None else {}
        more |= self.cells.gauges() if self.cells is not None else {}
        return more | {
            "fleet_members": core.alive_count,
            "fleet_suspects": lambda: sum(m.status == 1 for m in core.view.members.values()),
            "fleet_divergent": lambda: core.divergence(now_ms())[0],
            "fleet_health": lambda: core.health.score,
            "fleet_nodes": lambda: self._position[1],
            "fleet_conflicts": lambda: core.name_conflicts,
            "fleet_refused": lambda: self.counts["refused"],
            "fleet_errors": lambda: self.counts["errors"],
            "fleet_sent_bytes": lambda: self.counts["sent_bytes"],
        }

    def status(self) -> AdminReply:
        """Return the status of the fleet for the admin endpoint."""
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
            if m.is_alive() or now - m.status_since_ms < DEPARTED_RETENTION_MS
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
            "place": {"number": self._position[0], "nodes": self._position[1]},
            "divergence": {"members": differ, "longest_s": round(longest / 1000.0, 1)},
            "health": core.health.score,
            "refuted": core.refutations, "buried": core.deaths_declared, "conflicts": core.name_conflicts,
            "messages_s": round(self._send_rates[0], 1), "bytes_s": round(self._send_rates[1], 1),
            "counts": self.counts, "refused_for": self.rejection_counts, "members": members,
        })  # fmt: skip
