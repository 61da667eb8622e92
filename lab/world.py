"""Common part of both hosts: servers, server lists, links, callers and fault injection.

A host adds the execution of node processes and the transport of bytes.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from lab import records
from lab.callers import Callers, Done, FrontRouter, Order, Orders
from lab.lines import LinkFault, Links
from lab.names import CALLERS
from lab.plan import Plan
from lab.records import Sink
from lab.registry import ACTIVE, LEAVING, LEFT, Agent, Registry
from lab.scenario import (
    Clock,
    Fault,
    Hog,
    Kill,
    Link,
    Operation,
    Release,
    Scenario,
    ServerFault,
    Silence,
    Split,
    Stop,
    Terminate,
)
from lab.servers import Job, Server

UNREACHABLE_NOTICE_MS = 3000.0  # additional time until discovery detects an unreachable server
BELIEF_INTERVAL_MS = 1000.0  # interval of recording each process's view
CALLER_CONNECT_TIMEOUT_MS = 250.0  # connect timeout of callers


def release_query(what: Release, since_ms: float) -> str:
    """Return the admin endpoint query that starts a release; `since_ms` is Unix time."""
    stages = ",".join(f"{share:g}" for share in what.stages)
    return f"since={since_ms / 1000.0:.3f}&stages={stages}&bake={what.bake_s:g}&by=day"


class World(ABC):
    """A running scenario: its servers, links, callers and faults."""

    def __init__(self, plan: Plan, sinks: list[Sink]) -> None:
        self.plan, self.sinks = plan, sinks
        self.scenario: Scenario = plan.scenario
        self.names = plan.names
        scenario, seed = plan.scenario, plan.seed
        self.lines = Links(plan.names, plan.same_ms, plan.cross_ms, scenario.network.jitter, self, seed)
        self.orders = Orders(self)
        self.front = FrontRouter(plan.names.nodes, seed)
        self.callers = Callers(plan, self, self, self.front, self.orders, self.tell)
        self.servers: dict[str, Server] = {}
        self.registries: list[Registry] = []
        caller_nodes = [list(plan.names.nodes), list(plan.names.server_nodes)]
        for t, (tier, names) in enumerate(zip(scenario.tiers, plan.names.tiers, strict=True)):
            mean = plan.mean_work_ms * tier.work
            rules = scenario.rules
            for n, (name, zone) in enumerate(names.items()):
                self.servers[name] = Server(
                    name, zone, n // tier.cell_size, tier, plan.speeds[name], self, seed, mean,
                    (rules.overload_factor, rules.overload_ms), self._on_collapse,
                )  # fmt: skip
            self.registries.append(
                Registry(list(names), caller_nodes[t], scenario.discovery, self, f"{seed}discovery{t}")
            )
        for name in plan.names.server_nodes:
            self.servers[name.partition("/")[0]].call = self._inner_call(name)
        self._work_noise = random.Random(f"{seed}noise")
        self._inner_ids = random.Random(f"{seed}inner")
        self._link_faults: dict[int, list[LinkFault]] = {}
        self.builds: dict[str, Release] = {}  # servers that run a new build, by name

    # Implemented by hosts

    @abstractmethod
    def now(self) -> float:
        """Return the milliseconds since the start of the run."""

    @abstractmethod
    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Call `do` after a delay."""

    @abstractmethod
    def ask(self, node: str, order: Order, done: Done) -> None:
        """Send a request to a node."""

    @abstractmethod
    def leave(self, node: str, id: str) -> None:
        """Close the connection on which a request waits."""

    @abstractmethod
    def start_node(self, name: str) -> None:
        """Start a node's process."""

    @abstractmethod
    def signal(self, name: str, what: str) -> None:
        """Send `kill`, `term`, `stop` or `cont`."""

    @abstractmethod
    def hog(self, name: str, share: float) -> None:
        """Limit a node to this share of its core; 1: no limit."""

    @abstractmethod
    def skew(self, name: str, wall_ms: float, drift: float) -> None:
        """Change a node's clocks."""

    @abstractmethod
    def operate(self, name: str, what: Operation) -> None:
        """Perform an operator action."""

    @abstractmethod
    def release(self, what: Release, since_ms: float) -> None:
        """Start a staged release of the servers that start from now on."""

    @abstractmethod
    def drop_attempts(self, server: str) -> None:
        """Break all connections to a server that has died."""

    @abstractmethod
    def beliefs(self) -> None:
        """Record the view and resource usage of each process."""

    # Run

    def tell(self, record: records.Record) -> None:
        """Pass a record to all sinks: the oracle, the figures and the log."""
        for sink in self.sinks:
            sink(record)

    def begin(self) -> None:
        """Start the callers and schedule the faults."""
        self.callers.start()
        for n, fault in enumerate(self.scenario.faults):
            self.after(1000.0 * fault.at_s, self._toggle_fault, n, fault, True)
            if fault.for_s < math.inf:
                self.after(1000.0 * (fault.at_s + fault.for_s), self._end_fault, n, fault)
        self.after(BELIEF_INTERVAL_MS, self._record_beliefs)

    def _record_beliefs(self) -> None:
        self.beliefs()
        if self.now() < 1000.0 * self.scenario.day.length_s:
            self.after(BELIEF_INTERVAL_MS, self._record_beliefs)

    def agent(self, node: str) -> Agent:
        """Return the discovery agent on a node's machine."""
        return self.registries[int(node in self.names.server_nodes)].agents[node]

    # Requests at servers

    def job(
        self, order: Order, server: Server, node: str, new_connection: bool, done: Callable[[Job, str], None]
    ) -> Job:
        """Create the job of an attempt; the first on a connection includes the handshake."""
        tier = server.tier
        noise = self.scenario.classes[order.cls].noise
        factor = 1.0 + noise * (2.0 * self._work_noise.random() - 1.0)
        work = order.work_ms * tier.work * factor + (tier.handshake_ms if new_connection else 0.0)
        calls = int(tier.calls) + (self._work_noise.random() < tier.calls % 1.0) if server.call else 0
        return Job(order.id, node, order.name, work, calls, done)

    def _inner_call(self, node: str) -> Callable[[Job, Callable[[bool], None]], None]:
        """Return the function with which a server calls the next tier, through the node on its machine."""

        def call(job: Job, done: Callable[[bool], None]) -> None:
            outer = self.orders.get(job.id)
            now = self.now()
            if outer is None:
                return done(False)
            number = self._inner_ids.getrandbits(32)
            left = max(1.0, outer.budget_ms * 0.9)
            order = Order(
                f"{job.id}-{number:08x}", outer.cls, outer.name, left, outer.work_ms,
                f"{outer.key}-{number:x}" if outer.key else "", outer.tenant, False, node.partition("/")[0],
            )  # fmt: skip
            self.orders.add(order)
            self.tell(
                records.Asked(now, order.id, node, order.name, left, order.origin, order.key, order.tenant)
            )

            def answered(status: int, maker: str, advice_ms: float) -> None:
                self.orders.over(order.id)
                if self.servers[order.origin].up:
                    self.tell(records.Answered(self.now(), order.id, node, status, maker))
                done(status == 200)

            self.ask(node, order, answered)

        return call

    def _on_collapse(self, server: Server) -> None:
        self.tell(records.Fell(self.now(), server.name))
        self.drop_attempts(server.name)
        self._update_list(server, LEFT)

    def _update_list(self, server: Server, status: str, restarted: bool = False) -> None:
        registry = self.registries[int(server.name not in self.names.tiers[0])]
        registry.change(server.name, status, self.now() if restarted else None)

    # Faults

    def _toggle_fault(self, n: int, fault: Fault, on: bool) -> None:
        """Turn a fault on or off; a flapping fault keeps toggling until its end."""
        now_s = self.now() / 1000.0
        if now_s > fault.at_s + fault.for_s - 1e-6:
            return
        self._apply_fault(n, fault, on)
        if fault.flap_s:
            self.after(1000.0 * fault.flap_s, self._toggle_fault, n, fault, not on)

    def _end_fault(self, n: int, fault: Fault) -> None:
        self._apply_fault(n, fault, False)

    def _apply_fault(self, n: int, fault: Fault, on: bool) -> None:
        affected = self._affected(fault)
        kind = type(fault).__name__.lower()
        self.tell(records.Faulted(self.now(), f"{n}:{kind}", on, affected))
        match fault:
            case Link() | Split():
                self._apply_link_fault(n, fault, on)
            case Kill() if on:
                for name in affected:
                    self.kill(name, fault.back_s)
            case Terminate() if on:
                for k, name in enumerate(affected):
                    self.after(1000.0 * k * fault.apart_s, self._terminate, name, fault)
            case Stop():
                for name in affected:
                    self.signal(name, "stop" if on else "cont")
            case Hog():
                for name in affected:
                    self.hog(name, fault.share if on else 1.0)
            case Clock():
                for name in affected:
                    self.skew(name, fault.wall_ms if on else 0.0, fault.drift if on else 0.0)
            case ServerFault():
                for name in affected:
                    self._apply_server_fault(fault, self.servers[name], on)
            case Silence():
                for name in affected:
                    self._apply_silence(fault, self.agent(name), on)
            case Release() if on:
                if fault.staged:
                    self.release(fault, self.now())
                for k, name in enumerate(affected):
                    self.after(1000.0 * (fault.lead_s + k * fault.apart_s), self._start_build, name, fault)
            case Operation() if on:
                for k, name in enumerate(affected):
                    self.after(1000.0 * k * fault.apart_s, self.operate, name, fault)

    def _pick(self, selectors: list[str], key: str) -> list[str]:
        found = {name for selector in selectors for name in self.names.pick(selector, key, self.plan.seed)}
        return sorted(found, key=lambda name: (len(name), name))

    def _affected(self, fault: Fault) -> list[str]:
        """Return the nodes and servers that a fault affects."""
        if isinstance(fault, Link):
            return self._pick([fault.source], "source") + self._pick([fault.target], "target")
        if isinstance(fault, Split):
            return [name for part in fault.parts for name in self._pick(part, "parts")]
        key = "servers" if isinstance(fault, ServerFault | Release) else "nodes"
        return self._pick(getattr(fault, key), key)

    def _link_pairs(self, fault: Link | Split) -> frozenset[tuple[str, str]]:
        if isinstance(fault, Link):
            sources, targets = self._pick([fault.source], "source"), self._pick([fault.target], "target")
            pairs = {(a, b) for a in sources for b in targets}
            return frozenset(pairs | {(b, a) for a, b in pairs} if fault.both else pairs)
        parts = [self._pick(part, "parts") for part in fault.parts]
        cut = {
            (a, b)
            for i, one in enumerate(parts)
            for j, other in enumerate(parts)
            if (i < j if fault.one_way else i != j)
            for a in one
            for b in other
        }
        return frozenset(cut)

    def _apply_link_fault(self, n: int, fault: Link | Split, on: bool) -> None:
        for link_fault in self._link_faults.pop(n, []):
            self.lines.remove_fault(link_fault)
        if not on:
            return
        link_fault = LinkFault(self._link_pairs(fault), cut=True)
        if isinstance(fault, Link):
            link_fault = LinkFault(
                self._link_pairs(fault), fault.loss, fault.delay_ms, fault.jitter_ms, fault.duplicate,
                fault.reorder, fault.rate_kbps, fault.cut, fault.refuse, fault.datagrams_only,
            )  # fmt: skip
        self._link_faults[n] = [link_fault]
        self.lines.add_fault(link_fault)

    def kill(self, name: str, back_s: float = 0.0) -> None:
        """Send SIGKILL, and restart the node under the same name after `back_s` if that is not 0."""
        self.signal(name, "kill")
        if back_s:
            self.after(1000.0 * back_s, self.start_node, name)

    def _terminate(self, name: str, fault: Terminate) -> None:
        self.signal(name, "term")
        self.after(1000.0 * fault.kill_s, self.kill, name, fault.back_s)

    def _apply_silence(self, fault: Silence, agent: Agent, on: bool) -> None:
        if fault.late_s:
            agent.late_ms = 1000.0 * fault.late_s if on else 0.0
        elif on:
            agent.silent = True
        else:
            agent.end_silence()

    def _apply_server_fault(self, fault: ServerFault, server: Server, on: bool) -> None:
        if fault.vanish:
            self._apply_vanish(server, on)
        elif fault.drain:
            if on:
                self._update_list(server, LEAVING)
            else:
                self.restart(server)
        elif fault.restart:
            if on:
                self.restart(server)
        elif server.up:
            server.set_faults(
                slow=fault.slow if on else 1.0, hanging=fault.hang and on, errors=fault.errors if on else 0.0
            )
            if fault.pause_ms and on:
                self._pause_repeatedly(fault, server)

    def _pause_repeatedly(self, fault: ServerFault, server: Server) -> None:
        if self.now() < 1000.0 * (fault.at_s + fault.for_s):
            server.pause(fault.pause_ms)
            self.after(
                fault.pause_every_ms * (0.5 + self._work_noise.random()),
                self._pause_repeatedly,
                fault,
                server,
            )

    def _apply_vanish(self, server: Server, on: bool) -> None:
        others = set(self.names.nodes) | set(self.names.servers) | {CALLERS}
        key = -1 - list(self.servers).index(server.name)
        for link_fault in self._link_faults.pop(key, []):
            self.lines.remove_fault(link_fault)
        if on:
            pairs = {(server.name, other) for other in others} | {(other, server.name) for other in others}
            self._link_faults[key] = [LinkFault(frozenset(pairs), cut=True)]
            self.lines.add_fault(self._link_faults[key][0])
            server.reachable = False
            self.after(UNREACHABLE_NOTICE_MS, self._report_unreachable, server)
        else:
            self.restart(server)

    def _report_unreachable(self, server: Server) -> None:
        if not server.reachable:
            self._update_list(server, LEFT)

    def _start_build(self, name: str, build: Release) -> None:
        """Restart a server with a new build."""
        self.builds[name] = build
        self.restart(self.servers[name])

    def _apply_build_defects(self, server: Server, life: int, build: Release) -> None:
        if server.life == life and server.up:
            server.set_faults(slow=build.slow, hanging=build.hang, errors=build.errors)

    def restart(self, server: Server) -> None:
        """Restart a server, cold and without delay, together with its node."""
        server.die()
        self.drop_attempts(server.name)
        node = f"{server.name}/node"
        if node in self.names.server_nodes:
            self.signal(node, "kill")
            self.start_node(node)
        server.start()
        build = self.builds.get(server.name)
        if build is not None:
            self.after(1000.0 * build.ill_s, self._apply_build_defects, server, server.life, build)
        self.tell(records.Started(self.now(), server.name))
        self._update_list(server, ACTIVE, restarted=True)
