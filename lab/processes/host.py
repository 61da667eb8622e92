"""Real-time host: real node processes, with simulated servers and callers on this process's event loop."""

from __future__ import annotations

import asyncio
import json
import os
import socket
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
from lab.processes.caller import PendingRequest, Pool, expire
from lab.processes.child import Child, environment, hog_command, node_command
from lab.processes.gates import HANGING, OPEN, SHUT, Gate
from lab.processes.relay import Relay
from lab.processes.standin import Connection, acceptor
from lab.records import Sink
from lab.registry import Entry, told_entries
from lab.scenario import Operation, Release
from lab.servers import Server
from lab.settings import settings
from lab.world import World, release_query

MIN_DELAY_MS = 0.5  # shorter delays are treated as none, since an event loop counts in milliseconds
READINESS_POLL_S = 0.1  # interval at which the front polls each node
WITHDRAWAL_DELAY_MS = 200.0  # time for which connections continue after a node's first negative readiness
STARTUP_TIMEOUT_S = 30.0  # timeout for all nodes to become ready at the start
DELAY_CHECK_S, REPORTED_DELAY_MS = (
    0.05,
    20.0,
)  # interval of checking the lab's scheduling delay, and recording threshold
CORE_WAIT_CHECK_S = 0.25  # interval of checking how long nodes have waited for a core
RELEASE_RETRY_S = 0.5  # retry interval of operators while no node accepts a release
UPGRADE_TIMEOUT_S = 6.0  # timeout for a replacement process to become ready
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
        self._hogs: dict[str, list[Child]] = {}
        self._inherited_sockets: dict[str, socket.socket] = {}
        self._truncated: set[str] = set()
        self._attempts: dict[str, int] = {}
        self._pools: dict[str, Pool] = {}
        self._pending_requests: dict[str, PendingRequest] = {}
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
        return (self.loop.time() - self._start_s) * 1000.0

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
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
        self.spawn(self._watch_scheduling())
        self.spawn(self._watch_core_waits())
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
        for children in (*self._children.values(), *self._hogs.values()):
            for child in children:
                child.close()
        for pool in self._pools.values():
            pool.close()
        for connections in self.connections.values():
            for connection in list(connections):
                connection.abort()
        for gate in self._gates.values():
            gate.set(SHUT)
        if self._relay is not None:
            self._relay.close()
        for agent in self._agents:
            agent.close()
        for sock in self._inherited_sockets.values():
            sock.close()
        self.block.release()

    # Scheduling delays

    async def _watch_scheduling(self) -> None:
        due = self.loop.time() + DELAY_CHECK_S
        while True:
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            late_ms = (self.loop.time() - due) * 1000.0
            if late_ms > REPORTED_DELAY_MS:
                self.tell(records.Late(self.now(), "lab", late_ms))
            due = self.loop.time() + DELAY_CHECK_S

    async def _watch_core_waits(self) -> None:
        for children in self._children.values():
            for child in children:
                child.waited_ms()
        while True:
            await asyncio.sleep(CORE_WAIT_CHECK_S)
            for name, children in self._children.items():
                for child in children:
                    waited_ms = child.waited_ms() if child.alive() else 0.0
                    if waited_ms > REPORTED_DELAY_MS:
                        self.tell(records.Late(self.now(), name, waited_ms))

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
            inherited_fds = (self._inherited_socket(name).fileno(),)
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

    def _inherited_socket(self, name: str) -> socket.socket:
        """Return the listening socket that all processes of a node inherit."""
        if name not in self._inherited_sockets:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self.block.node(self.places[name]))
            sock.listen(512)
            self._inherited_sockets[name] = sock
        return self._inherited_sockets[name]

    def _ended(self, name: str, child: Child, code: int) -> None:
        self._children[name] = [other for other in self._children[name] if other is not child]
        terminated = child.pid in self._terminated
        if not terminated or code not in (0, -9):
            self.tell(records.Process(self.now(), name, "ended" if not terminated else "failed", code))
            if terminated:
                self.broke(name, f"it ended with {code} after SIGTERM")

    def signal(self, name: str, what: str) -> None:
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
        unreachable_ms = not_ready_ms = -1.0
        while True:
            await asyncio.sleep(READINESS_POLL_S)
            status, _ = await call(address, "GET", "/-/ready")
            now = self.now()
            if status == 200:
                if not self.front.admitted[name]:
                    self.tell(records.Process(now, name, "ready"))
                self.front.admitted[name] = True
                unreachable_ms = not_ready_ms = -1.0
            elif status:
                not_ready_ms = now if not_ready_ms < 0.0 else not_ready_ms
                if now - not_ready_ms >= WITHDRAWAL_DELAY_MS:
                    self.front.admitted[name] = False
            else:
                unreachable_ms = now if unreachable_ms < 0.0 else unreachable_ms
                if now - unreachable_ms >= self.plan.notice_ms:
                    self.front.admitted[name] = False

    def hog(self, name: str, share: float) -> None:
        for hog in self._hogs.pop(name, []):
            hog.close()
        all_cores = os.sched_getaffinity(0)
        cores = {max(all_cores)} if share < 1.0 else all_cores
        for child in self._children[name]:
            if child.alive():
                os.sched_setaffinity(child.pid, cores)
        if share < 1.0:
            command, log = hog_command(self.scenario.day.length_s), self._folder / "hogs.log"
            self._hogs[name] = [
                Child(self.loop, command, environment(self._folder), log, ())
                for _ in range(round(1.0 / share) - 1)
            ]
            for hog in self._hogs[name]:
                os.sched_setaffinity(hog.pid, cores)

    def skew(self, name: str, wall_ms: float, drift: float) -> None:
        raise NotImplementedError("real clocks can't be set here")  # rejected before the run starts

    def operate(self, name: str, what: Operation) -> None:
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
        await asyncio.sleep(3.7)
        old.signal("kill")

    # Requests

    def ask(self, node: str, order: Order, done: Done) -> None:
        if order.origin == CALLERS:
            self.tell(
                records.Asked(
                    self.now(), order.id, node, order.name, order.budget_ms, CALLERS, order.key, order.tenant
                )
            )
        request = PendingRequest(node, order, done)
        self._pending_requests[order.id] = request
        self.after(order.budget_ms + self.scenario.rules.overdue_ms, self._expire, order.id)
        key = f"{order.origin}>{node}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(self, order.origin, node)
        pool.send(request)

    def _expire(self, id: str) -> None:
        request = self._pending_requests.pop(id, None)
        if request is not None:
            expire(request)

    def leave(self, node: str, id: str) -> None:
        request = self._pending_requests.pop(id, None)
        if request is not None and not request.over:
            request.over = True
            if request.connection is not None:
                request.connection.close()

    def drop_attempts(self, server: str) -> None:
        for connection in list(self.connections[server]):
            connection.abort()
        self.connections[server].clear()
        self._update_gates()

    def restart(self, server: Server) -> None:
        super().restart(server)
        self._update_gates()

    def beliefs(self) -> None:
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
