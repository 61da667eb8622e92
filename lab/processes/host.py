"""Real processes of the node in real time, among stand-ins that share this process's event loop."""

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
from lab.processes.caller import Errand, Pool, expire
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

SOON_MS = 0.5  # shorter waits than this are none: an event loop counts in milliseconds
POLL_S = 0.1  # the front asks each node so often
GOES_ON_MS = 200.0  # after a node's first no, connections still come for so long
READY_S = 30.0  # for all nodes to be ready at first; then callers come
TURN_S, TURN_LATE_MS = 0.05, 20.0  # how often the lab looks whether it is late, and what is worth noting
WAITED_S = 0.25  # how often it is asked how long a node has waited for a core
ASK_AGAIN_S = 0.5  # operators who reach no steward try again
HEALTHY_S = 6.0  # for a new process of a node to be ready beside the old one
VOTERS = 5  # the first of the front nodes, where there are so many
SEEDS = 3  # nodes whose addresses the others are given
END_S = 5.0  # for a node to end after SIGTERM, once the day is over


class ProcessHost(World):
    """A day in real time."""

    def __init__(
        self, plan: Plan, sinks: list[Sink], loop: asyncio.AbstractEventLoop, folder: Path, logs: Path | None
    ) -> None:
        self.loop, self._folder, self._logs = loop, folder, logs
        self._zero = loop.time()
        self._wall_zero_ms = time.time() * 1000.0
        self.block = Block()
        self.places = {name: n for n, name in enumerate((*plan.names.nodes, *plan.names.server_nodes))}
        self.server_places = {name: n for n, name in enumerate(plan.names.servers)}
        self.connections: dict[str, set[Connection]] = defaultdict(set)
        self.watches: dict[str, set[AgentConnection]] = defaultdict(set)
        self._gates: dict[tuple[str, str], Gate] = {}
        self._children: dict[str, list[Child]] = defaultdict(list)  # the newest last
        self._admins: dict[int, Address] = {}  # by pid
        self._starts: dict[str, int] = defaultdict(int)
        self._told_to: set[int] = set()  # pids of those that were told to end
        self._hogs: dict[str, list[Child]] = {}
        self._handed: dict[str, socket.socket] = {}
        self._spoilt: set[str] = set()
        self._attempts: dict[str, int] = {}
        self._pools: dict[str, Pool] = {}
        self._errands: dict[str, Errand] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._agents: list[asyncio.Server] = []
        self._over = False
        self._relay: Relay | None = None
        super().__init__(plan, sinks)
        if self.scenario.nodes.fleet:
            self._relay = Relay(loop, self, self.lines, self.block, self.places)
        self.lines.on_change = self._regate

    # Time

    def now(self) -> float:
        return (self.loop.time() - self._zero) * 1000.0

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        if self._over:
            return
        if delay_ms < SOON_MS:
            self.loop.call_soon(do, *args)
        else:
            self.loop.call_later(delay_ms / 1000.0, do, *args)

    def wall_ms(self, at_ms: float) -> float:
        """A time of the day as Unix time."""
        return self._wall_zero_ms + at_ms

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something beside."""
        task = self.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def broke(self, who: str, what: str) -> None:
        """Note bytes that break the protocol."""
        self.tell(records.Broke(self.now(), who, what))

    # The day

    async def run(self, step: Callable[[float], None]) -> None:
        """Play it, from the start of the processes to their end."""
        await self._listen()
        for name in self.places:
            self.start_node(name)
        async with asyncio.timeout(READY_S):
            await asyncio.gather(*(self._until_ready(name) for name in self.places))
        self._zero = self.loop.time()
        self._wall_zero_ms = time.time() * 1000.0
        for name in self.names.nodes:
            self.front.admitted[name] = True
            self.spawn(self._watch_ready(name))
        self.spawn(self._watch_turns())
        self.spawn(self._watch_cores())
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
            agent.on_update = partial(self._news, node)
            address = self.block.discovery(place)
            make = partial(AgentConnection, self, agent)
            self._agents.append(await self.loop.create_server(make, *address))
            tier = int(node in self.names.server_nodes)
            for name in self.names.tiers[tier]:
                server = self.servers[name]
                address = self.block.server(place, self.server_places[name])
                self._gates[node, name] = Gate(self.loop, address, acceptor(self, node, server))
        self._regate()
        if self._relay is not None:
            await self._relay.start()

    def _regate(self) -> None:
        for (node, name), gate in self._gates.items():
            server, line = self.servers[name], self.lines.between(node, name)
            if not server.reachable or line.cut:
                gate.set(HANGING)
            else:
                gate.set(SHUT if line.refuse or not server.up else OPEN)

    def _news(self, node: str, index: int, changed: list[Entry]) -> None:
        for watch in list(self.watches[node]):
            watch.news()

    async def _finish(self) -> None:
        for name, children in self._children.items():
            for child in children:
                self._told_to.add(child.pid)
                child.signal("cont")
                child.signal("term")
                self.tell(records.Process(self.now(), name, "term"))
        try:
            async with asyncio.timeout(END_S):
                while any(child.alive() for children in self._children.values() for child in children):
                    await asyncio.sleep(0.02)
        except TimeoutError:
            for name, children in self._children.items():
                if any(child.alive() for child in children):
                    self.broke(name, f"it lives {END_S:g} s after SIGTERM with nothing to do")

    def close(self) -> None:
        """End all that was started, whatever the state of the day."""
        self._over = True
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
        for sock in self._handed.values():
            sock.close()
        self.block.release()

    # Being late

    async def _watch_turns(self) -> None:
        due = self.loop.time() + TURN_S
        while True:
            await asyncio.sleep(max(0.0, due - self.loop.time()))
            late_ms = (self.loop.time() - due) * 1000.0
            if late_ms > TURN_LATE_MS:
                self.tell(records.Late(self.now(), "lab", late_ms))
            due = self.loop.time() + TURN_S

    async def _watch_cores(self) -> None:
        for children in self._children.values():
            for child in children:
                child.waited_ms()
        while True:
            await asyncio.sleep(WAITED_S)
            for name, children in self._children.items():
                for child in children:
                    waited_ms = child.waited_ms() if child.alive() else 0.0
                    if waited_ms > TURN_LATE_MS:
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
            "seed": f"{self.plan.seed:08x}{place:04x}{self._starts[name]:04x}",
            "limits": {"cores": 1.0, "memory_mb": nodes.memory_mb, "sockets": nodes.sockets},
            "known": listing(self, agent, agent.full_list(), True),
            "settings": settings(self.plan, name, self._attempts.get(name, 0)),
        }
        if admin is not None:
            config["management"] = text(admin)
        fleet = self._fleet_object(place)
        if fleet is not None:
            config["fleet"] = fleet
        path = self._folder / self._file(name, ".json")
        path.write_text(json.dumps(config))
        return path

    def _fleet_object(self, place: int) -> dict[str, Any] | None:
        """What a node's file says of its fleet; None where it is alone."""
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
        self._launch(name)

    def _launch(self, name: str) -> Child:
        self._starts[name] += 1
        admin = self.block.admin(self.places[name], self._starts[name])
        path = self._write_config(name, admin)
        temporary = self._folder / self._file(name, ".tmp")
        temporary.mkdir(exist_ok=True)
        more = {"NODE_CONFIG": str(path), "NODE_NAME": name}
        hands: tuple[int, ...] = ()
        if self._upgrades(name):
            hands = (self._hand(name).fileno(),)
            more["NODE_ACCEPT_FD"] = str(hands[0])
        logs = self._logs or self._folder
        log = logs / f"{self.scenario.name}-{self.plan.seed}-{self._file(name, '.log')}"
        child = Child(
            self.loop, node_command(), environment(temporary, **more), log, hands, partial(self._ended, name)
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

    def _hand(self, name: str) -> socket.socket:
        """The listening socket that all processes of a node inherit."""
        if name not in self._handed:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(self.block.node(self.places[name]))
            sock.listen(512)
            self._handed[name] = sock
        return self._handed[name]

    def _ended(self, name: str, child: Child, code: int) -> None:
        self._children[name] = [other for other in self._children[name] if other is not child]
        told = child.pid in self._told_to
        if not told or code not in (0, -9):
            self.tell(records.Process(self.now(), name, "ended" if not told else "failed", code))
            if told:
                self.broke(name, f"it ended with {code} after SIGTERM")

    def signal(self, name: str, what: str) -> None:
        for child in list(self._children[name]):
            if what in ("kill", "term"):
                self._told_to.add(child.pid)
            child.signal(what)
        self.tell(records.Process(self.now(), name, what))

    async def _until_ready(self, name: str) -> None:
        address = self.block.node(self.places[name])
        while (await call(address, "GET", "/-/ready"))[0] != 200:
            await asyncio.sleep(0.02)
        self.tell(records.Process(self.now(), name, "ready"))

    async def _watch_ready(self, name: str) -> None:
        """What the front does: admit who says yes, leave who says no, and notice death late."""
        address = self.block.node(self.places[name])
        dead_ms = no_ms = -1.0
        while True:
            await asyncio.sleep(POLL_S)
            status, _ = await call(address, "GET", "/-/ready")
            now = self.now()
            if status == 200:
                if not self.front.admitted[name]:
                    self.tell(records.Process(now, name, "ready"))
                self.front.admitted[name] = True
                dead_ms = no_ms = -1.0
            elif status:
                no_ms = now if no_ms < 0.0 else no_ms
                if now - no_ms >= GOES_ON_MS:
                    self.front.admitted[name] = False
            else:
                dead_ms = now if dead_ms < 0.0 else dead_ms
                if now - dead_ms >= self.plan.notice_ms:
                    self.front.admitted[name] = False

    def hog(self, name: str, share: float) -> None:
        for hog in self._hogs.pop(name, []):
            hog.close()
        every = os.sched_getaffinity(0)
        cores = {max(every)} if share < 1.0 else every
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
        raise NotImplementedError("real clocks can't be set here")  # refused before the day begins

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
        while not self._over:
            for children in list(self._children.values()):
                admin = self._admins[children[-1].pid]
                if (await call(admin, "POST", f"/admin/releases/start?{query}"))[0] == 202:
                    return
            await asyncio.sleep(ASK_AGAIN_S)

    async def _upgrade(self, name: str, old: Child) -> None:
        """A new process beside the old one, which is told to end once the new one is ready."""
        new = self._launch(name)
        try:
            async with asyncio.timeout(HEALTHY_S):
                while (await call(self._admins[new.pid], "GET", "/admin/health"))[0] != 200:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return self.broke(name, f"a new process was not ready within {HEALTHY_S:g} s")
        self._told_to.add(old.pid)
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
        errand = Errand(node, order, done)
        self._errands[order.id] = errand
        self.after(order.budget_ms + self.scenario.rules.overdue_ms, self._expire, order.id)
        key = f"{order.origin}>{node}"
        pool = self._pools.get(key)
        if pool is None:
            pool = self._pools[key] = Pool(self, order.origin, node)
        pool.send(errand)

    def _expire(self, id: str) -> None:
        errand = self._errands.pop(id, None)
        if errand is not None:
            expire(errand)

    def leave(self, node: str, id: str) -> None:
        errand = self._errands.pop(id, None)
        if errand is not None and not errand.over:
            errand.over = True
            if errand.connection is not None:
                errand.connection.close()

    def drop_attempts(self, server: str) -> None:
        for connection in list(self.connections[server]):
            connection.abort()
        self.connections[server].clear()
        self._regate()

    def restart(self, server: Server) -> None:
        super().restart(server)
        self._regate()

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
