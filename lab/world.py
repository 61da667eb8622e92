"""What both hosts have in common: servers, lists, links, callers, and the faults that are set on them.

A host adds how processes run and how bytes get from one to another.
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

LOST_NOTICE_MS = 3000.0  # beyond its usual notice: how long discovery takes for a server that fell silent
BELIEF_MS = 1000.0  # how often it is noted what each process believes
CONNECT_MS = 250.0  # callers wait so long for a connection


def release_query(what: Release, since_ms: float) -> str:
    """What operators say at an admin endpoint to begin a release; `since_ms` is Unix time."""
    stages = ",".join(f"{share:g}" for share in what.stages)
    return f"since={since_ms / 1000.0:.3f}&stages={stages}&bake={what.bake_s:g}&by=day"


class World(ABC):
    """A day of a scenario: what there is and what happens to it."""

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
        callers_of = [list(plan.names.nodes), list(plan.names.server_nodes)]
        for t, (tier, names) in enumerate(zip(scenario.tiers, plan.names.tiers, strict=True)):
            mean = plan.mean_work_ms * tier.work
            rules = scenario.rules
            for n, (name, zone) in enumerate(names.items()):
                self.servers[name] = Server(
                    name, zone, n // tier.cell_size, tier, plan.speeds[name], self, seed, mean,
                    (rules.overload_factor, rules.overload_ms), self._fell,
                )  # fmt: skip
            self.registries.append(
                Registry(list(names), callers_of[t], scenario.discovery, self, f"{seed}discovery{t}")
            )
        for name in plan.names.server_nodes:
            self.servers[name.partition("/")[0]].call = self._inner_call(name)
        self._noise = random.Random(f"{seed}noise")
        self._inner = random.Random(f"{seed}inner")
        self._ills: dict[int, list[LinkFault]] = {}
        self.builds: dict[str, Release] = {}  # servers that run a new build

    # What a host does

    @abstractmethod
    def now(self) -> float:
        """Milliseconds since the day began."""

    @abstractmethod
    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Do something later."""

    @abstractmethod
    def ask(self, node: str, order: Order, done: Done) -> None:
        """Send a request to a node."""

    @abstractmethod
    def leave(self, node: str, id: str) -> None:
        """Close the connection that a request waits on."""

    @abstractmethod
    def start_node(self, name: str) -> None:
        """Start a node's process."""

    @abstractmethod
    def signal(self, name: str, what: str) -> None:
        """Send `kill`, `term`, `stop` or `cont`."""

    @abstractmethod
    def hog(self, name: str, share: float) -> None:
        """Leave a node this share of its core; 1: all."""

    @abstractmethod
    def skew(self, name: str, wall_ms: float, drift: float) -> None:
        """Change a node's clocks."""

    @abstractmethod
    def operate(self, name: str, what: Operation) -> None:
        """Have operators do something."""

    @abstractmethod
    def release(self, what: Release, since_ms: float) -> None:
        """Have operators begin a staged release of the servers that start from now on."""

    @abstractmethod
    def drop_attempts(self, server: str) -> None:
        """Break all connections to a server that has died."""

    @abstractmethod
    def beliefs(self) -> None:
        """Note what each process believes."""

    # The day

    def tell(self, record: records.Record) -> None:
        """Let the oracle, the figures and the log see what happened."""
        for sink in self.sinks:
            sink(record)

    def begin(self) -> None:
        """Let callers come and faults strike, by the plan."""
        self.callers.start()
        for n, fault in enumerate(self.scenario.faults):
            self.after(1000.0 * fault.at_s, self._turn, n, fault, True)
            if fault.for_s < math.inf:
                self.after(1000.0 * (fault.at_s + fault.for_s), self._cease, n, fault)
        self.after(BELIEF_MS, self._beliefs)

    def _beliefs(self) -> None:
        self.beliefs()
        if self.now() < 1000.0 * self.scenario.day.length_s:
            self.after(BELIEF_MS, self._beliefs)

    def agent(self, node: str) -> Agent:
        """The part of discovery that is on a node's machine."""
        return self.registries[int(node in self.names.server_nodes)].agents[node]

    # Requests at servers

    def job(
        self, order: Order, server: Server, node: str, new: bool, done: Callable[[Job, str], None]
    ) -> Job:
        """An attempt as work for a server; the first on a connection costs the handshake too."""
        tier = server.tier
        noise = self.scenario.classes[order.cls].noise
        factor = 1.0 + noise * (2.0 * self._noise.random() - 1.0)
        work = order.work_ms * tier.work * factor + (tier.handshake_ms if new else 0.0)
        calls = int(tier.calls) + (self._noise.random() < tier.calls % 1.0) if server.call else 0
        return Job(order.id, node, order.name, work, calls, done)

    def _inner_call(self, node: str) -> Callable[[Job, Callable[[bool], None]], None]:
        """How a server calls the tier behind it, through the node on its own machine."""

        def call(job: Job, done: Callable[[bool], None]) -> None:
            outer = self.orders.get(job.id)
            now = self.now()
            if outer is None:
                return done(False)
            number = self._inner.getrandbits(32)
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

    def _fell(self, server: Server) -> None:
        self.tell(records.Fell(self.now(), server.name))
        self.drop_attempts(server.name)
        self._list(server, LEFT)

    def _list(self, server: Server, status: str, anew: bool = False) -> None:
        registry = self.registries[int(server.name not in self.names.tiers[0])]
        registry.change(server.name, status, self.now() if anew else None)

    # Faults

    def _turn(self, n: int, fault: Fault, on: bool) -> None:
        """Let a fault begin or, flapping, pause; it goes on turning until its end."""
        now_s = self.now() / 1000.0
        if now_s > fault.at_s + fault.for_s - 1e-6:
            return
        self._set(n, fault, on)
        if fault.flap_s:
            self.after(1000.0 * fault.flap_s, self._turn, n, fault, not on)

    def _cease(self, n: int, fault: Fault) -> None:
        self._set(n, fault, False)

    def _set(self, n: int, fault: Fault, on: bool) -> None:
        whom = self._whom(fault)
        kind = type(fault).__name__.lower()
        self.tell(records.Faulted(self.now(), f"{n}:{kind}", on, whom))
        match fault:
            case Link() | Split():
                self._link(n, fault, on)
            case Kill() if on:
                for name in whom:
                    self.kill(name, fault.back_s)
            case Terminate() if on:
                for k, name in enumerate(whom):
                    self.after(1000.0 * k * fault.apart_s, self._terminate, name, fault)
            case Stop():
                for name in whom:
                    self.signal(name, "stop" if on else "cont")
            case Hog():
                for name in whom:
                    self.hog(name, fault.share if on else 1.0)
            case Clock():
                for name in whom:
                    self.skew(name, fault.wall_ms if on else 0.0, fault.drift if on else 0.0)
            case ServerFault():
                for name in whom:
                    self._server(fault, self.servers[name], on)
            case Silence():
                for name in whom:
                    self._silence(fault, self.agent(name), on)
            case Release() if on:
                if fault.staged:
                    self.release(fault, self.now())
                for k, name in enumerate(whom):
                    self.after(1000.0 * (fault.lead_s + k * fault.apart_s), self._build, name, fault)
            case Operation() if on:
                for k, name in enumerate(whom):
                    self.after(1000.0 * k * fault.apart_s, self.operate, name, fault)

    def _pick(self, choices: list[str], key: str) -> list[str]:
        found = {name for choice in choices for name in self.names.pick(choice, key, self.plan.seed)}
        return sorted(found, key=lambda name: (len(name), name))

    def _whom(self, fault: Fault) -> list[str]:
        """The nodes and servers that a fault touches."""
        if isinstance(fault, Link):
            return self._pick([fault.source], "source") + self._pick([fault.target], "target")
        if isinstance(fault, Split):
            return [name for part in fault.parts for name in self._pick(part, "parts")]
        key = "servers" if isinstance(fault, ServerFault | Release) else "nodes"
        return self._pick(getattr(fault, key), key)

    def _pairs(self, fault: Link | Split) -> frozenset[tuple[str, str]]:
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

    def _link(self, n: int, fault: Link | Split, on: bool) -> None:
        for ill in self._ills.pop(n, []):
            self.lines.remove_fault(ill)
        if not on:
            return
        ill = LinkFault(self._pairs(fault), cut=True)
        if isinstance(fault, Link):
            ill = LinkFault(
                self._pairs(fault), fault.loss, fault.delay_ms, fault.jitter_ms, fault.duplicate,
                fault.reorder, fault.rate_kbps, fault.cut, fault.refuse, fault.datagrams_only,
            )  # fmt: skip
        self._ills[n] = [ill]
        self.lines.add_fault(ill)

    def kill(self, name: str, back_s: float = 0.0) -> None:
        """SIGKILL, and a new start under the same name some time later, where one is wanted."""
        self.signal(name, "kill")
        if back_s:
            self.after(1000.0 * back_s, self.start_node, name)

    def _terminate(self, name: str, fault: Terminate) -> None:
        self.signal(name, "term")
        self.after(1000.0 * fault.kill_s, self.kill, name, fault.back_s)

    def _silence(self, fault: Silence, agent: Agent, on: bool) -> None:
        if fault.late_s:
            agent.late_ms = 1000.0 * fault.late_s if on else 0.0
        elif on:
            agent.silent = True
        else:
            agent.end_silence()

    def _server(self, fault: ServerFault, server: Server, on: bool) -> None:
        if fault.vanish:
            self._vanish(server, on)
        elif fault.drain:
            if on:
                self._list(server, LEAVING)
            else:
                self.restart(server)
        elif fault.restart:
            if on:
                self.restart(server)
        elif server.up:
            server.disturb(
                slow=fault.slow if on else 1.0, hanging=fault.hang and on, errors=fault.errors if on else 0.0
            )
            if fault.pause_ms and on:
                self._pauses(fault, server)

    def _pauses(self, fault: ServerFault, server: Server) -> None:
        if self.now() < 1000.0 * (fault.at_s + fault.for_s):
            server.pause(fault.pause_ms)
            self.after(fault.pause_every_ms * (0.5 + self._noise.random()), self._pauses, fault, server)

    def _vanish(self, server: Server, on: bool) -> None:
        others = set(self.names.nodes) | set(self.names.servers) | {CALLERS}
        key = -1 - list(self.servers).index(server.name)
        for ill in self._ills.pop(key, []):
            self.lines.remove_fault(ill)
        if on:
            pairs = {(server.name, other) for other in others} | {(other, server.name) for other in others}
            self._ills[key] = [LinkFault(frozenset(pairs), cut=True)]
            self.lines.add_fault(self._ills[key][0])
            server.reachable = False
            self.after(LOST_NOTICE_MS, self._miss, server)
        else:
            self.restart(server)

    def _miss(self, server: Server) -> None:
        if not server.reachable:
            self._list(server, LEFT)

    def _build(self, name: str, build: Release) -> None:
        """A server starts anew with a new build."""
        self.builds[name] = build
        self.restart(self.servers[name])

    def _fall_ill(self, server: Server, life: int, build: Release) -> None:
        if server.life == life and server.up:
            server.disturb(slow=build.slow, hanging=build.hang, errors=build.errors)

    def restart(self, server: Server) -> None:
        """A server dies and is back at once, cold; its node with it."""
        server.die()
        self.drop_attempts(server.name)
        node = f"{server.name}/node"
        if node in self.names.server_nodes:
            self.signal(node, "kill")
            self.start_node(node)
        server.start()
        build = self.builds.get(server.name)
        if build is not None:
            self.after(1000.0 * build.ill_s, self._fall_ill, server, server.life, build)
        self.tell(records.Started(self.now(), server.name))
        self._list(server, ACTIVE, anew=True)
