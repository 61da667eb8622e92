"""A process of the directory of cells, which runs on control machines and serves no requests.

It answers lookups and takes reports of members on the socket that the directory's processes also use among
themselves. Started by `python -m dunlinloft.node.fleet.directory` with the file that NODE_CONFIG names.
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

OBSERVE_INTERVAL_S = 1.0  # between reports of the other processes alive to the core
DIRECTORY_FLEET_NAME = "{}/directory"  # fleet name of the directory's own processes


class DirectoryHost:
    """Hosts the directory core on sockets."""

    def __init__(self, config: DirectoryConfig, loop: asyncio.AbstractEventLoop) -> None:
        self._loop, self.config = loop, config
        fleet = replace(config.fleet, name=DIRECTORY_FLEET_NAME.format(config.fleet.name))
        identity = MemberIdentity(config.name, config.seed, config.zone)
        self.peers = Peers(loop, identity, fleet, lambda number, nodes: None, lambda: 0)
        self.peers.intercept_datagram = self._intercept_datagram
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
        """Join the other processes and serve. Raises `OSError` if the admin endpoint's address is in use."""
        if self.config.management is not None:
            await self.admin.listen(self.config.management)
        self.peers.start()
        self._perform(self.core.start())
        self._observe_peers()

    async def stop(self) -> None:
        """Leave the other processes, and wait until the sockets are closed."""
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
            logs.exception("directory error", "directory: handling %(what)s", what=type(event).__name__)

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

    def _intercept_datagram(self, data: bytes, source: str) -> bool:
        """Handle a datagram of a member; False if it is one of the directory's own processes."""
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

    # Status for operators

    def _health(self) -> AdminReply:
        return AdminReply(200, {"ready": self.core.is_ready(now_ms())})

    def status(self) -> AdminReply:
        """Return the services with their cells, and the age of the report on each cell."""
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
                name: _service_status(service, now) for name, service in sorted(core.index.services.items())
            },
        })  # fmt: skip


def _service_status(service: ServiceRecord, now: float) -> list[JsonObject]:
    return [_cell_status(cell, now) for _, cell in sorted(service.cells.items())]


def _cell_status(cell: CellRecord, now: float) -> JsonObject:
    latest = cell.latest().summary
    return {
        "region": cell.region, "cell": cell.partition.text(), "epoch": cell.partition.epoch,
        "members": latest.members, "counted": cell.counted_members(now), "load": latest.load,
        "program": latest.program, "digest": f"{latest.digest:016x}", "addresses": cell.addresses(),
        "reporters": sorted(cell.summaries), "age_s": round(cell.age_ms(now) / 1000.0, 1),
        "stale": not cell.is_fresh(now),
    }  # fmt: skip


async def run(path: str) -> int:
    """Serve until SIGTERM; return the exit status."""
    try:
        config = read_directory_config(path)
    except ConfigFileError as error:
        print(f"dunlinloft directory: {error}", file=sys.stderr)
        return 2
    logs.setup(config.name, config.log)
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    loop.add_signal_handler(signal.SIGINT, stopping.set)
    host = DirectoryHost(config, loop)
    try:
        await host.start()
    except OSError as error:
        print(f"dunlinloft directory: can't listen: {error}", file=sys.stderr)
        return 2
    logs.info("started", "started, serving the directory of fleet %(fleet)s", fleet=config.fleet.name)
    await stopping.wait()
    logs.info("stopping", "stopping")
    await host.stop()
    return 0


def main() -> int:
    """Run the program; return the exit status."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        print("dunlinloft directory: NODE_CONFIG must name the configuration file", file=sys.stderr)
        return 2
    return uvloop.run(run(path))


if __name__ == "__main__":
    sys.exit(main())
