"""A process of the directory: for control machines, without a request path.

It answers members of cells and takes their reports on the socket on which the directory's processes meet
each other. Started by `python -m dunlinloft.node.fleet.directory` with the file that NODE_CONFIG names.
"""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
from dataclasses import replace

import uvloop

from dunlinloft.fleet import interface as api
from dunlinloft.fleet.cells import directory as cells
from dunlinloft.fleet.cells.index import CellRecord, ServiceRecord
from dunlinloft.fleet.cells.messages import LookupResponse
from dunlinloft.fleet.cells.messages import Message as CellMessage
from dunlinloft.fleet.cells.service_totals import MAX_REPORT_AGE_MS
from dunlinloft.fleet.cells.wire import DirectoryWire
from dunlinloft.fleet.messages import ApplicationMessage, Message
from dunlinloft.fleet.shared_state import messages as shared
from dunlinloft.fleet.wire import MessageRejected
from dunlinloft.node import logs
from dunlinloft.node.admin_reply import AdminReply, JsonObject
from dunlinloft.node.clock import now_ms
from dunlinloft.node.config import ConfigFileError, DirectoryConfig, read_directory_config
from dunlinloft.node.fleet.peers import LEAVE_GRACE_S, MemberIdentity, Peers
from dunlinloft.node.management import AdminEndpoint

OBSERVE_INTERVAL_S = 1.0  # how often it is looked at which other processes are there
OWN_FLEET = "{}/directory"  # the name under which the directory's processes meet


class DirectoryHost:
    """The core among sockets."""

    def __init__(self, config: DirectoryConfig, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.config = loop, config
        fleet = replace(config.fleet, name=OWN_FLEET.format(config.fleet.name))
        identity = MemberIdentity(config.name, config.seed, config.zone)
        self.peers = Peers(loop, identity, fleet, lambda number, nodes: None, lambda: 0)
        self.peers.intercept_datagram = self._datagram
        self.peers.message_listeners.append(self._on_message)
        self.wire = DirectoryWire(config.fleet.name)
        incarnation = self.peers.core.incarnation
        self.core = cells.Directory(config.name, incarnation, random.Random(config.seed), now_ms())
        self._closed = False
        self.admin = AdminEndpoint(loop)
        self.admin.add("/admin/health", "GET", self._health)
        self.admin.add("/admin/directory", "GET", self.status)
        self.admin.add("/admin/fleet", "GET", self.peers.status)

    async def start(self) -> None:
        """Meet the others and answer members; `OSError` where the admin endpoint's address is taken."""
        if self.config.management is not None:
            await self.admin.listen(self.config.management)
        self.peers.start()
        self._perform(self.core.start())
        self._observe_peers()

    async def stop(self) -> None:
        """Say goodbye to the other processes."""
        self._closed = True
        self.peers.leave_fleet(handing_over=False)
        await asyncio.sleep(2.0 * LEAVE_GRACE_S)

    def _observe_peers(self) -> None:
        if self._closed:
            return
        core = self.peers.core
        alive = {m.name: m.incarnation for m in core.view.members.values() if m.is_alive()}
        self._handle(cells.PeersObserved(core.incarnation, alive))
        self._loop.call_later(OBSERVE_INTERVAL_S, self._observe_peers)

    def _handle(self, event: cells.Event) -> None:
        if self._closed:
            return
        try:
            self._perform(self.core.handle(event, now_ms()))
        except Exception:
            self.peers.counts["errors"] += 1
            logs.exception("directory error", "handling %(what)s", what=type(event).__name__)

    def _perform(self, actions: list[cells.Action]) -> None:
        for action in actions:
            match action:
                case api.SendDatagram():
                    if isinstance(action.message, CellMessage):
                        self.peers.send(self.wire.write(action.message), action.address)
                case shared.SendMessage():
                    self.peers.send_to_member(action.recipient, action.message)
                case shared.SetTimer():
                    self._loop.call_later(
                        action.delay_ms / 1000.0, self._handle, shared.TimerFired(action.token)
                    )

    def _datagram(self, data: bytes, source: str) -> bool:
        """Take a member's datagram; False where it is one of the directory's own processes'."""
        if not self.wire.accepts(data):
            return False
        try:
            message = self.wire.read(data)
        except MessageRejected as reason:
            self.peers.count_rejection(str(reason))
            return True
        if not isinstance(message, LookupResponse):
            self._handle(cells.MemberMessageReceived(message, source))
        return True

    def _on_message(self, message: Message) -> None:
        if isinstance(message, ApplicationMessage) and isinstance(message.content, shared.Message):
            self._handle(shared.MessageReceived(message.content, message.header.name))

    # What operators see

    def _health(self) -> AdminReply:
        return AdminReply(200, {"ready": self.core.is_ready(now_ms())})

    def status(self) -> AdminReply:
        """Services with their cells, and how old what is known of each is."""
        now, core = now_ms(), self.core
        return AdminReply(200, {
            "name": self.config.name,
            "fleet": self.config.fleet.name,
            "learning": not core.is_ready(now),
            "processes": self.peers.core.alive_count(),
            "counts": dict(core.counts) | {"records": sum(1 for _ in core.reports.all())},
            "refused_for": self.peers.rejection_counts,
            "bound_s": MAX_REPORT_AGE_MS / 1000.0,
            "services": {
                name: _service(service, now) for name, service in sorted(core.index.services.items())
            },
        })  # fmt: skip


def _service(service: ServiceRecord, now: float) -> list[JsonObject]:
    return [_cell(cell, now) for _, cell in sorted(service.cells.items())]


def _cell(cell: CellRecord, now: float) -> JsonObject:
    youngest = cell.latest().summary
    return {
        "region": cell.region, "cell": cell.partition.text(), "epoch": cell.partition.epoch,
        "members": youngest.members, "counted": cell.counted_members(now), "load": youngest.load,
        "program": youngest.program, "digest": f"{youngest.digest:016x}", "addresses": cell.addresses(),
        "reporters": sorted(cell.summaries), "age_s": round(cell.age_ms(now) / 1000.0, 1),
        "stale": not cell.is_fresh(now),
    }  # fmt: skip


async def run(path: str) -> int:
    """Serve until SIGTERM; the exit status."""
    try:
        config = read_directory_config(path)
    except ConfigFileError as problem:
        print(f"dunlinloft directory: {problem}", file=sys.stderr)
        return 2
    logs.setup(config.name, config.log)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    host = DirectoryHost(config, loop)
    try:
        await host.start()
    except OSError as problem:
        print(f"dunlinloft directory: can't listen: {problem}", file=sys.stderr)
        return 2
    logs.info("started", "a process of the directory of %(fleet)s", fleet=config.fleet.name)
    await stopping.wait()
    logs.info("stopping", "stopping")
    await host.stop()
    return 0


def main() -> int:
    """The program."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("dunlinloft directory: NODE_CONFIG must name the configuration file", file=sys.stderr)
        return 2
    return uvloop.run(run(path))


if __name__ == "__main__":
    sys.exit(main())
