"""The heap of events, and what happens between virtual processes."""

from __future__ import annotations

import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Any

from dunlinloft.balancer import interface as api
from dunlinloft.node.server_list import server_id
from lab import records
from lab.callers import Done, Order
from lab.names import CALLERS
from lab.plan import Plan
from lab.records import SILENT, UNREACHED, Sink
from lab.scenario import Operation, Release
from lab.servers import Job
from lab.virtual.node import ANSWER_BYTES, REQUEST_BYTES, Attempt, VirtualNode
from lab.world import CALLER_CONNECT_TIMEOUT_MS, World, release_query

if TYPE_CHECKING:
    from lab.virtual.member import NodeNetwork

START_MS = 300.0  # until a process that was started takes callers
STARVED = 0.3  # of a core, with less than which a node's timers come late
ASK_AGAIN_MS = 500.0  # operators who reach no steward try again
POLL_MS = 100.0  # the front asks each node so often
NOTED_MS = 1.5 * POLL_MS  # what its rhythm adds, on average, until it sees one dead and then acts on it


class VirtualHost(World):
    """A day in virtual time."""

    node_type: type[VirtualNode] = VirtualNode

    def __init__(self, plan: Plan, sinks: list[Sink]) -> None:
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = count()
        self.events = 0
        self.numbers = {name: server_id(name) for name in plan.names.servers}
        self.attempts: dict[str, set[Attempt]] = defaultdict(set)
        self.nodes: dict[str, VirtualNode] = {}
        self._old: dict[str, list[VirtualNode]] = defaultdict(list)  # processes that end beside a new one
        self._lives = count(1)
        self._dones: dict[str, tuple[str, Done]] = {}  # requests that wait for an answer, and where
        self.network: NodeNetwork | None = None
        super().__init__(plan, sinks)
        if self.scenario.nodes.fleet:
            from lab.virtual.member import NodeNetwork  # only where it is wanted

            self.network = NodeNetwork(self, random.Random(f"{plan.seed}fleet"))

    # Time

    def now(self) -> float:
        return self._now

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._heap, (self._now + delay_ms, next(self._number), do, args))

    def run(self, step: Callable[[float], None] = lambda share: None) -> None:
        """Play the day; `step` hears its share as it goes."""
        for name in (*self.names.nodes, *self.names.server_nodes):
            self.start_node(name, first=True)
        self.begin()
        length = 1000.0 * (self.scenario.day.length_s + self.scenario.day.after_s)
        heap, shown = self._heap, 0.0
        while heap and heap[0][0] <= length:
            self._now, _, do, args = heapq.heappop(heap)
            do(*args)
            self.events += 1
            if self._now > shown:
                step(self._now / length)
                shown = self._now + length / 100.0
            if self._now > 1000.0 * self.scenario.day.length_s and self.callers.finished():
                break

    # Processes

    def start_node(self, name: str, first: bool = False) -> None:
        """Start a process; the first ones take callers at once."""
        life = next(self._lives)
        old = self.nodes.get(name)
        if old is not None and old.alive:
            return
        attempts = old.max_attempts if old is not None else 0
        self.tell(records.Process(self._now, name, "started"))
        node = self.nodes[name] = self.node_type(self, name, self.plan.seed * 1_000_003 + life, attempts)
        self.agent(name).on_update = lambda index, changed: node.turn(node.tell_list, index, changed, False)
        node.handle(api.Started())
        if first:
            self._admit(name, node, True)
        else:
            self.after(START_MS, self._admit, name, node, True)

    def _admit(self, name: str, node: VirtualNode, ready: bool) -> None:
        if self.nodes.get(name) is not node or (ready and not node.alive):
            return
        if ready:
            self.tell(records.Process(self._now, name, "ready"))
        if name in self.front.admitted:
            self.front.admitted[name] = ready

    def signal(self, name: str, what: str) -> None:
        node = self.nodes.get(name)
        if node is None or not node.alive:
            return
        self.tell(records.Process(self._now, name, what))
        if what == "kill":
            node.die()
            self.after(self.plan.notice_ms + NOTED_MS, self._admit, name, node, False)
        elif what == "term":
            self._wind_up(node)
            self.after(POLL_MS * 0.5, self._admit, name, node, False)
        elif what == "stop":
            node.stop()
            self.after(self.plan.notice_ms, self._unless_back, name, node)
        elif what == "cont":
            node.cont()
            self.after(POLL_MS, self._admit, name, node, not node.ending)

    def _unless_back(self, name: str, node: VirtualNode) -> None:
        if node.stopped:
            self._admit(name, node, False)

    def _wind_up(self, node: VirtualNode) -> None:
        node.ending, node.draining_ms = True, self._now
        node.leave()
        self.after(451.0, node.end_if_done)

    def ended(self, node: VirtualNode) -> None:
        """A process that was told to has ended by itself."""
        node.die()
        self.tell(records.Process(self._now, node.name, "ended"))
        old = self._old[node.name]
        if node in old:
            old.remove(node)
            self._share(node.name)

    def _share(self, name: str) -> None:
        processes = [self.nodes[name], *self._old[name]]
        for node in processes:
            node.turn(node.handle, api.ProcessCount(len(processes)))

    def hog(self, name: str, share: float) -> None:
        self.nodes[name].share = share
        member = self.nodes[name].member
        if member is not None:
            member.starved = share < STARVED

    def skew(self, name: str, wall_ms: float, drift: float) -> None:
        self.nodes[name].skew(wall_ms, drift)

    def operate(self, name: str, what: Operation) -> None:
        node = self.nodes[name]
        if not node.alive:
            return
        if what.do == "quiesce":
            node.draining_ms = self._now
            self.after(POLL_MS * 0.5, self._admit, name, node, False)
        elif what.do == "resume":
            node.draining_ms = math.inf
            self.after(POLL_MS * 0.5, self._admit, name, node, True)
        elif what.do == "reload" and not what.spoilt:
            self.tell(records.Process(self._now, name, "hup"))
            node.turn(node.reload, what.max_attempts)
        elif what.do == "upgrade":
            self._upgrade(name, node)

    def release(self, what: Release, since_ms: float) -> None:
        query = release_query(what, since_ms)
        for node in self.nodes.values():
            releases = node.member.releases if node.member is not None and node.alive else None
            if releases is not None and releases.start(query)[0] == 202:
                return
        self.after(ASK_AGAIN_MS, self.release, what, since_ms)

    def _upgrade(self, name: str, old: VirtualNode) -> None:
        """A new process beside the old; once it is ready the old one is told to end."""
        old.hand_over()
        new = self.node_type(self, name, self.plan.seed * 1_000_003 + next(self._lives), old.max_attempts)
        new.handle(api.Started())
        self._old[name].append(old)
        self.nodes[name] = new

        def tell(index: int, changed: list[Any]) -> None:
            for node in (new, *self._old[name]):
                node.turn(node.tell_list, index, changed, False)

        self.agent(name).on_update = tell
        self._share(name)
        self.after(START_MS, self._retire, old)

    def _retire(self, old: VirtualNode) -> None:
        if old.alive:
            self.tell(records.Process(self._now, old.name, "term"))
            self._wind_up(old)

    # Requests between processes

    def ask(self, node: str, order: Order, done: Done) -> None:
        inner = order.origin != CALLERS
        process = self.nodes[node]
        if not inner:
            self.tell(
                records.Asked(
                    self._now, order.id, node, order.name, order.budget_ms, CALLERS, order.key, order.tenant
                )
            )
        self._dones[order.id] = node, done
        limit = order.budget_ms + self.scenario.rules.overdue_ms
        self.after(limit, self._expire, order.id)
        if inner:  # the node is on the server's own machine
            return process.come(order, done)
        line = self.lines.between(CALLERS, node)
        if line.refuse:
            return self.after(self.lines.rtt_ms(CALLERS, node), self._reply, order.id, UNREACHED, "", 0.0)
        if line.cut:
            return self.after(CALLER_CONNECT_TIMEOUT_MS, self._reply, order.id, UNREACHED, "", 0.0)
        line.carry(REQUEST_BYTES, process.come, order, done)

    def _expire(self, id: str) -> None:
        self._reply(id, SILENT, "", 0.0)

    def answer(self, node: str, order: Order, done: Done, status: int, maker: str, advice_ms: float) -> None:
        """A node's answer goes to its caller."""
        if order.origin != CALLERS:
            return self._reply(order.id, status, maker, advice_ms)
        line = self.lines.between(node, CALLERS)
        line.carry(ANSWER_BYTES, self._reply, order.id, status, maker, advice_ms)

    def _reply(self, id: str, status: int, maker: str, advice_ms: float) -> None:
        waiting = self._dones.pop(id, None)
        if waiting is not None:
            waiting[1](status, maker, advice_ms)

    def leave(self, node: str, id: str) -> None:
        self._dones.pop(id, None)
        for process in (self.nodes[node], *self._old[node]):
            self.lines.between(CALLERS, node).carry(0, process.turn, process.gone, id)

    def arrive(self, attempt: Attempt) -> None:
        """An attempt's last byte is at its server."""
        node, server, order = attempt.node, attempt.server, self.orders.get(attempt.id)
        if not server.up or order is None:
            return
        self.tell(records.Arrived(self._now, attempt.id, node.name, server.name, attempt.began))

        def done(job: Job, how: str) -> None:
            self.tell(records.Ended(self._now, job.id, server.name, how))
            if how != "dropped" and not attempt.over:
                report = server.report() if server.tier.reports else None
                line = self.lines.between(server.name, node.name)
                line.carry(ANSWER_BYTES, node.turn, node.answered, attempt, how, report)

        attempt.job = self.job(order, server, node.name, attempt.new, done)
        server.submit(attempt.job)

    def abandon(self, attempt: Attempt) -> None:
        """A node closes the connection of an attempt; its server hears of it some time later."""
        server = attempt.server
        server.connections = max(0, server.connections - 1)
        self.attempts[server.name].discard(attempt)
        self.lines.between(attempt.node.name, server.name).carry(0, self._abandoned, attempt)

    def _abandoned(self, attempt: Attempt) -> None:
        if attempt.job is not None:
            attempt.server.cancel(attempt.job)

    def drop_attempts(self, server: str) -> None:
        attempts, self.attempts[server] = self.attempts[server], set()
        for attempt in sorted(attempts, key=lambda attempt: (attempt.id, attempt.number)):
            self.lines.between(server, attempt.node.name).carry(0, attempt.node.reset, attempt)

    def beliefs(self) -> None:
        for name, node in self.nodes.items():
            if node.alive and not node.stopped:
                self.tell(records.Belief(self._now, name, node.belief()))
