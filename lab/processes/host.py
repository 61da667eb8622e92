"""Real-time host: real node processes, with simulated servers and callers on this process's event loop."""

from __future__ import annotations

import asyncio
import json
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from lab import records
from lab.callers import Done, Order
from lab.names import CALLERS
from lab.plan import Plan
from lab.processes.admin import call
from lab.processes.agent import AgentConnection, listing
from lab.processes.block import Address, Block, text
from lab.processes.child import Child, environment, node_command
from lab.processes.cpu_hogs import CpuHogs
from lab.processes.front_watch import READINESS_POLL_S, READY, FrontWatch
from lab.processes.gates import HANGING, OPEN, SHUT, Gate
from lab.processes.inherited_sockets import InheritedSockets
from lab.processes.relay import Relay
from lab.processes.request_sender import RequestSender
from lab.processes.scheduling_delay import watch_core_waits, watch_event_loop
from lab.processes.standin import Connection, acceptor
from lab.records import Sink
from lab.registry import Entry, told_entries
from lab.scenario import Operation, Release
from lab.servers import Server
from lab.settings import settings
from lab.world import World, release_query

MIN_DELAY_MS = 0.5  # shorter delays are treated as none, since an event loop counts in milliseconds
STARTUP_TIMEOUT_S = 30.0  # timeout for all nodes to become ready at the start
RELEASE_RETRY_S = 0.5  # retry interval of operators while no node accepts a release
UPGRADE_TIMEOUT_S = 6.0  # timeout for a replacement process to become ready
UPGRADE_GRACE_S = 3.7  # from SIGTERM to SIGKILL of the replaced process
VOTERS = 5  # number of voters: the first front nodes, if there are as many
SEEDS = 3  # number of seed nodes, whose addresses all nodes know
SHUTDOWN_TIMEOUT_S = 5.0  # timeout for a node to end after SIGTERM at the end of a run


class ProcessHost(World):
    """Runs a scenario in real time."""

    def __init__(
        self, plan: Plan, sinks: list[Sink], loop: asyncio.AbstractEventLoop, folder: Path, logs: Path | None
    ) -> None:
        self.loop, self._folder, self._logs = loop, folder, logs
        self._start_s = loop.time()
        self._start_wall_ms = time.time() * 1000.0
        self.block = Block()
        self.places = {name: n for n, name in enumerate((*plan.names.nodes, *plan.names.server_nodes))}
        self.server_places = {name: n for n, name in enumerate(plan.names.servers)}
        self.connections: dict[str, set[Connection]] = defaultdict(set)
        self.watches: dict[str, set[AgentConnection]] = defaultdict(set)
        self._gates: dict[tuple[str, str], Gate] = {}
        self._children: dict[str, list[Child]] = defaultdict(list)  # newest last
        self._admins: dict[int, Address] = {}  # by pid
        self._start_counts: dict[str, int] = defaultdict(int)
        self._terminated: set[int] = set()  # pids of processes told to terminate
        self._hogs = CpuHogs(loop, folder, plan.scenario.day.length_s)
        self._inherited_sockets = InheritedSockets()
        self._attempts: dict[str, int] = {}
        self._requests = RequestSender(self, plan.scenario.rules.overdue_ms)
        self._tasks: set[asyncio.Task[None]] = set()
        self._agents: list[asyncio.Server] = []
        self._closed_down = False
        self._relay: Relay | None = None
        super().__init__(plan, sinks)
        if self.scenario.nodes.fleet:
            self._relay = Relay(loop, self, self.lines, self.block, self.places)
        self.lines.on_change = self._update_gates

    # Time

    def now(self) -> float:
        """Milliseconds since the run began."""
        return (self.loop.time() - self._start_s) * 1000.0

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Call a function after a delay, unless the host has been closed."""
        if self._closed_down:
            return
        if delay_ms < MIN_DELAY_MS:
            self.loop.call_soon(do, *args)
        else:
            self.loop.call_later(delay_ms / 1000.0, do, *args)

    def wall_ms(self, at_ms: float) -> float:
        """Convert a time within the run to Unix time."""
        return self._start_wall_ms + at_ms

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""
        task = self.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def broke(self, who: str, what: str) -> None:
        """Record a violation of the protocol."""
        self.tell(records.Broke(self.now(), who, what))

    # Run

    async def run(self, step: Callable[[float], None]) -> None:
        """Run the scenario, from the start of the processes to their end."""
        await self._listen()
        for name in self.places:
            self.start_node(name)
        async with asyncio.timeout(STARTUP_TIMEOUT_S):
            await asyncio.gather(*(self._until_ready(name) for name in self.places))
        self._start_s = self.loop.time()
        self._start_wall_ms = time.time() * 1000.0
        for name in self.names.nodes:
            self.front.admitted[name] = True
            self.spawn(self._watch_ready(name))
        self.spawn(watch_event_loop(self.loop, partial(self._report_late, "lab")))
        self.spawn(watch_core_waits(self._children, self._report_late))
        self.begin()
        length_s = self.scenario.day.length_s + self.scenario.day.after_s
        while self.now() < 1000.0 * length_s:
            await asyncio.sleep(0.1)
            step(min(1.0, self.now() / 1000.0 / length_s))
            if self.now() > 1000.0 * self.scenario.day.length_s and self.callers.finished():
                break
        await self._finish()

    async def _listen(self) -> None:
        for node in self.places:
            agent = self.agent(node)
            place = self.places[node]
            agent.on_update = partial(self._notify_watches, node)
            address = self.block.discovery(place)
            make_connection = partial(AgentConnection, self, agent)
            self._agents.append(await self.loop.create_server(make_connection, *address))
            tier = int(node in self.names.server_nodes)
            for name in self.names.tiers[tier]:
                server = self.servers[name]
                address = self.block.server(place, self.server_places[name])
                self._gates[node, name] = Gate(self.loop, address, acceptor(self, node, server))
        self._update_gates()
        if self._relay is not None:
            await self._relay.start()

    def _update_gates(self) -> None:
        for (node, name), gate in self._gates.items():
            server, link = self.servers[name], self.lines.between(node, name)
            if not server.reachable or link.cut:
                gate.set(HANGING)
            else:
                gate.set(SHUT if link.refuse or not server.up else OPEN)

    def _notify_watches(self, node: str, index: int, changed: list[Entry]) -> None:
        for watch in list(self.watches[node]):
            watch.notify_watch()

    async def _finish(self) -> None:
        for name, children in self._children.items():
            for child in children:
                self._terminated.add(child.pid)
                child.signal("cont")
                child.signal("term")
                self.tell(records.Process(self.now(), name, "term"))
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                while any(child.alive() for children in self._children.values() for child in children):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            for name, children in self._children.items():
                if any(child.alive() for child in children):
                    self.broke(
                        name, f"it still runs {SHUTDOWN_TIMEOUT_S:g} s after SIGTERM without open requests"
                    )

    def close(self) -> None:
        """Stop and close everything that was started, in any state of the run."""
        self._closed_down = True
        for task in self._tasks:
            task.cancel()
        for children in self._children.values():
            for child in children:
                child.close()
        self._hogs.close()
        self._requests.close()
        for connections in self.connections.values():
            for connection in list(connections):
                connection.abort()
        for gate in self._gates.values():
            gate.set(SHUT)
        if self._relay is not None:
            self._relay.close()
        for agent in self._agents:
            agent.close()
        self._inherited_sockets.close()
        self.block.release()

    def _report_late(self, name: str, late_ms: float) -> None:
        self.tell(records.Late(self.now(), name, late_ms))

    # Processes

    def _file(self, name: str, suffix: str) -> str:
        return f"{name.replace('/', '-')}{suffix}"

    def _write_config(self, name: str, admin: Address | None) -> Path:
        place, nodes = self.places[name], self.scenario.nodes
        agent = self.agent(name)
        config = {
            "name": name,
            "listen": text(self.block.node(place)),
            "discovery": text(self.block.discovery(place)),
            "seed": f"{self.plan.seed:08x}{place:04x}{self._start_counts[name]:04x}",
            "limits": {"cores": 1.0, "memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
            "known": listing(self, agent, agent.full_list(), True),
            "settings": settings(self.plan, name, self._attempts.get(name, 0)),
        }
        if admin is not None:
            config["management"] = text(admin)
        fleet = self._fleet_section(place)
        if fleet is not None:
            config["fleet"] = fleet
        path = self._folder / self._file(name, ".json")
        path.write_text(json.dumps(config))
        return path

    def _fleet_section(self, place: int) -> dict[str, Any] | None:
        """Return the fleet section of a node's configuration; None without a fleet."""
        if self._relay is None:
            return None
        nodes = list(self.names.nodes)
        return {
            "name": f"{self.scenario.name}-{self.plan.seed}",
            "bind": text(self.block.peer(place)),
            "advertise": text(self.block.alias(place)),
            "voters": nodes[:VOTERS] if len(nodes) >= VOTERS else [],
            "share": list(self.scenario.nodes.share),
            "groups": list(self.names.zones),
            "seeds": [text(self.block.alias(n)) for n in range(min(SEEDS, len(self.places)))],
        }

    def start_node(self, name: str) -> None:
        """Start a node's process unless it is running."""
        if any(child.alive() for child in self._children[name]):
            return
        self._start_process(name)

    def _start_process(self, name: str) -> Child:
        self._start_counts[name] += 1
        admin = self.block.admin(self.places[name], self._start_counts[name])
        path = self._write_config(name, admin)
        temporary = self._folder / self._file(name, ".tmp")
        temporary.mkdir(exist_ok=True)
        extra_environment = {"NODE_CONFIG": str(path), "NODE_NAME": name}
        inherited_fds: tuple[int, ...] = ()
        if self._upgrades(name):
            inherited_fds = (self._inherited_sockets.descriptor(name, self.block.node(self.places[name])),)
            extra_environment["NODE_ACCEPT_FD"] = str(inherited_fds[0])
        logs = self._logs or self._folder
        log = logs / f"{self.scenario.name}-{self.plan.seed}-{self._file(name, '.log')}"
        child = Child(
            self.loop,
            node_command(),
            environment(temporary, **extra_environment),
            log,
            inherited_fds,
            partial(self._ended, name),
        )
        self._children[name].append(child)
        self._admins[child.pid] = admin
        now, agent = self.now(), self.agent(name)
        self.tell(records.Process(now, name, "started"))
        self.tell(records.Told(now, name, agent.index, True, told_entries(agent.full_list())))
        return child

    def _upgrades(self, name: str) -> bool:
        return any(
            isinstance(fault, Operation) and fault.do == "upgrade" and name in self._affected(fault)
            for fault in self.scenario.faults
        )

    def _ended(self, name: str, child: Child, code: int) -> None:
        self._children[name] = [other for other in self._children[name] if other is not child]
        terminated = child.pid in self._terminated
        if not terminated or code not in (0, -9):
            self.tell(records.Process(self.now(), name, "ended" if not terminated else "failed", code))
            if terminated:
                self.broke(name, f"it ended with {code} after SIGTERM")

    def signal(self, name: str, what: str) -> None:
        """Send a signal, by its lower-case name, to all processes of a node."""
        for child in list(self._children[name]):
            if what in ("kill", "term"):
                self._terminated.add(child.pid)
            child.signal(what)
        self.tell(records.Process(self.now(), name, what))

    async def _until_ready(self, name: str) -> None:
        address = self.block.node(self.places[name])
        while (await call(address, "GET", "/-/ready"))[0] != 200:
            await asyncio.sleep(0.02)
        self.tell(records.Process(self.now(), name, "ready"))

    async def _watch_ready(self, name: str) -> None:
        """Poll a node's readiness as the front does; unreachable ones are withdrawn after the notice time."""
        address = self.block.node(self.places[name])
        watch = FrontWatch(self.plan.notice_ms)
        while True:
            await asyncio.sleep(READINESS_POLL_S)
            status, _ = await call(address, "GET", "/-/ready")
            now = self.now()
            if status == READY and not self.front.admitted[name]:
                self.tell(records.Process(now, name, "ready"))
            watch.on_status(status, now)
            self.front.admitted[name] = watch.admitted

    def hog(self, name: str, share: float) -> None:
        """Leave a node's processes a share of one core."""
        self._hogs.set_share(name, self._children[name], share)

    def skew(self, name: str, wall_ms: float, drift: float) -> None:
        """Set a node's clock; not possible with real processes."""
        raise NotImplementedError("real clocks can't be set here")  # rejected before the run starts

    def operate(self, name: str, what: Operation) -> None:
        """Perform an operator's action on a node."""
        child = self._children[name][-1] if self._children[name] else None
        if child is None:
            return
        if what.do in ("quiesce", "resume"):
            self.spawn(call(self._admins[child.pid], "POST", f"/admin/{what.do}"))
        elif what.do == "reload":
            if what.max_attempts:
                self._attempts[name] = what.max_attempts
            path = self._write_config(name, self._admins[child.pid])
            if what.spoilt:
                path.write_text(path.read_text()[:-40])
            self.signal(name, "hup")
        else:
            self.spawn(self._upgrade(name, child))

    def release(self, what: Release, since_ms: float) -> None:
        """Start a staged release of servers at the first node that accepts it."""
        self.spawn(self._release(what, self.wall_ms(since_ms)))

    async def _release(self, what: Release, since_ms: float) -> None:
        query = release_query(what, since_ms)
        while not self._closed_down:
            for children in list(self._children.values()):
                admin = self._admins[children[-1].pid]
                if (await call(admin, "POST", f"/admin/releases/start?{query}"))[0] == 202:
                    return
            await asyncio.sleep(RELEASE_RETRY_S)

    async def _upgrade(self, name: str, old: Child) -> None:
        """Start a new process beside the old one, which is told to terminate once the new one is ready."""
        new = self._start_process(name)
        try:
            async with asyncio.timeout(UPGRADE_TIMEOUT_S):
                while (await call(self._admins[new.pid], "GET", "/admin/health"))[0] != 200:
                    await asyncio.sleep(READINESS_POLL_S)
        except TimeoutError:
            return self.broke(name, f"a new process was not ready within {UPGRADE_TIMEOUT_S:g} s")
        self._terminated.add(old.pid)
        old.signal("term")
        self.tell(records.Process(self.now(), name, "term"))
        await asyncio.sleep(UPGRADE_GRACE_S)
        old.signal("kill")

    # Requests

    def ask(self, node: str, order: Order, done: Done) -> None:
        """Send a request to a node; `done` is called with its outcome."""
        if order.origin == CALLERS:
            self.tell(
                records.Asked(
                    self.now(), order.id, node, order.name, order.budget_ms, CALLERS, order.key, order.tenant
                )
            )
        self._requests.send(node, order, done)

    def leave(self, node: str, id: str) -> None:
        """Close the connection of a request whose caller has left."""
        self._requests.cancel(id)

    def drop_attempts(self, server: str) -> None:
        """Abort all connections to a server."""
        for connection in list(self.connections[server]):
            connection.abort()
        self.connections[server].clear()
        self._update_gates()

    def restart(self, server: Server) -> None:
        """Restart a server, and update which links are open."""
        super().restart(server)
        self._update_gates()

    def beliefs(self) -> None:
        """Record the figures that each node reports of itself."""
        for name, children in self._children.items():
            if children:
                self.spawn(self._belief(name, children[-1]))

    async def _belief(self, name: str, child: Child) -> None:
        status, stats = await call(self._admins[child.pid], "GET", "/admin/stats")
        if status == 200 and isinstance(stats, dict):
            figures = {key: float(value) for key, value in stats.items() if isinstance(value, int | float)}
            if "fleet_release_percent" in figures:
                figures["release_share"] = figures["fleet_release_percent"] / 100.0
            self.tell(records.Belief(self.now(), name, figures | child.usage()))
