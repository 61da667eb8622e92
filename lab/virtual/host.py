"""Virtual-time host: the event heap, node processes, and the transport between callers, nodes and servers."""

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

PROCESS_START_MS = 300.0  # time until a started process accepts callers
STARVATION_SHARE = 0.3  # share of a core below which a node's timers run late
RELEASE_RETRY_MS = 500.0  # retry interval of operators while no node accepts a release
READINESS_POLL_MS = 100.0  # interval at which the front polls each node
POLL_DELAY_MS = (
    1.5 * READINESS_POLL_MS
)  # mean delay that polling adds to detecting a dead node and acting on it


class VirtualHost(World):
    """Runs a scenario in virtual time."""

    node_type: type[VirtualNode] = VirtualNode

    def __init__(self, plan: Plan, sinks: list[Sink]) -> None:
        self._now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = count()
        self.events = 0
        self.numbers = {name: server_id(name) for name in plan.names.servers}
        self.attempts: dict[str, set[Attempt]] = defaultdict(set)
        self.nodes: dict[str, VirtualNode] = {}
        self._retiring: dict[str, list[VirtualNode]] = defaultdict(
            list
        )  # processes that end while their replacement runs
        self._process_numbers = count(1)
        self._pending: dict[str, tuple[str, Done]] = {}  # pending requests: their node and callback
        self.network: NodeNetwork | None = None
        super().__init__(plan, sinks)
        if self.scenario.nodes.fleet:
            from lab.virtual.member import NodeNetwork  # imported only if needed

            self.network = NodeNetwork(self, random.Random(f"{plan.seed}fleet"))

    # Time

    def now(self) -> float:
        return self._now

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        heapq.heappush(self._heap, (self._now + delay_ms, next(self._sequence), do, args))

    def run(self, step: Callable[[float], None] = lambda share: None) -> None:
        """Run the scenario; `step` is called with the elapsed share."""
        for name in (*self.names.nodes, *self.names.server_nodes):
            self.start_node(name, first=True)
        self.begin()
        length = 1000.0 * (self.scenario.day.length_s + self.scenario.day.after_s)
        heap, next_step_ms = self._heap, 0.0
        while heap and heap[0][0] <= length:
            self._now, _, do, args = heapq.heappop(heap)
            do(*args)
            self.events += 1
            if self._now > next_step_ms:
                step(self._now / length)
                next_step_ms = self._now + length / 100.0
            if self._now > 1000.0 * self.scenario.day.length_s and self.callers.finished():
                break

    # Processes

    def start_node(self, name: str, first: bool = False) -> None:
        """Start a process; with `first` it accepts callers immediately."""
        process_number = next(self._process_numbers)
        old = self.nodes.get(name)
        if old is not None and old.alive:
            return
        attempts = old.max_attempts if old is not None else 0
        self.tell(records.Process(self._now, name, "started"))
        node = self.nodes[name] = self.node_type(
            self, name, self.plan.seed * 1_000_003 + process_number, attempts
        )
        self.agent(name).on_update = lambda index, changed: node.turn(node.tell_list, index, changed, False)
        node.handle(api.Started())
        if first:
            self._set_admitted(name, node, True)
        else:
            self.after(PROCESS_START_MS, self._set_admitted, name, node, True)

    def _set_admitted(self, name: str, node: VirtualNode, ready: bool) -> None:
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
            self.after(self.plan.notice_ms + POLL_DELAY_MS, self._set_admitted, name, node, False)
        elif what == "term":
            self._begin_shutdown(node)
            self.after(READINESS_POLL_MS * 0.5, self._set_admitted, name, node, False)
        elif what == "stop":
            node.stop()
            self.after(self.plan.notice_ms, self._withdraw_if_stopped, name, node)
        elif what == "cont":
            node.cont()
            self.after(READINESS_POLL_MS, self._set_admitted, name, node, not node.ending)

    def _withdraw_if_stopped(self, name: str, node: VirtualNode) -> None:
        if node.stopped:
            self._set_admitted(name, node, False)

    def _begin_shutdown(self, node: VirtualNode) -> None:
        node.ending, node.draining_ms = True, self._now
        node.leave()
        self.after(451.0, node.end_if_done)

    def ended(self, node: VirtualNode) -> None:
        """Record that a process told to terminate has ended."""
        node.die()
        self.tell(records.Process(self._now, node.name, "ended"))
        old = self._retiring[node.name]
        if node in old:
            old.remove(node)
            self._update_process_count(node.name)

    def _update_process_count(self, name: str) -> None:
        processes = [self.nodes[name], *self._retiring[name]]
        for node in processes:
            node.turn(node.handle, api.ProcessCount(len(processes)))

    def hog(self, name: str, share: float) -> None:
        self.nodes[name].share = share
        member = self.nodes[name].member
        if member is not None:
            member.starved = share < STARVATION_SHARE

    def skew(self, name: str, wall_ms: float, drift: float) -> None:
        self.nodes[name].skew(wall_ms, drift)

    def operate(self, name: str, what: Operation) -> None:
        node = self.nodes[name]
        if not node.alive:
            return
        if what.do == "quiesce":
            node.draining_ms = self._now
            self.after(READINESS_POLL_MS * 0.5, self._set_admitted, name, node, False)
        elif what.do == "resume":
            node.draining_ms = math.inf
            self.after(READINESS_POLL_MS * 0.5, self._set_admitted, name, node, True)
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
        self.after(RELEASE_RETRY_MS, self.release, what, since_ms)

    def _upgrade(self, name: str, old: VirtualNode) -> None:
        """Start a new process beside the old one, which is told to terminate once the new one is ready."""
        old.hand_over()
        new = self.node_type(
            self, name, self.plan.seed * 1_000_003 + next(self._process_numbers), old.max_attempts
        )
        new.handle(api.Started())
        self._retiring[name].append(old)
        self.nodes[name] = new

        def tell(index: int, changed: list[Any]) -> None:
            for node in (new, *self._retiring[name]):
                node.turn(node.tell_list, index, changed, False)

        self.agent(name).on_update = tell
        self._update_process_count(name)
        self.after(PROCESS_START_MS, self._retire, old)

    def _retire(self, old: VirtualNode) -> None:
        if old.alive:
            self.tell(records.Process(self._now, old.name, "term"))
            self._begin_shutdown(old)

    # Requests between processes

    def ask(self, node: str, order: Order, done: Done) -> None:
        from_server = order.origin != CALLERS
        process = self.nodes[node]
        if not from_server:
            self.tell(
                records.Asked(
                    self._now, order.id, node, order.name, order.budget_ms, CALLERS, order.key, order.tenant
                )
            )
        self._pending[order.id] = node, done
        limit = order.budget_ms + self.scenario.rules.overdue_ms
        self.after(limit, self._expire, order.id)
        if from_server:  # the node runs on the server's machine
            return process.receive_request(order, done)
        link = self.lines.between(CALLERS, node)
        if link.refuse:
            return self.after(self.lines.rtt_ms(CALLERS, node), self._reply, order.id, UNREACHED, "", 0.0)
        if link.cut:
            return self.after(CALLER_CONNECT_TIMEOUT_MS, self._reply, order.id, UNREACHED, "", 0.0)
        link.carry(REQUEST_BYTES, process.receive_request, order, done)

    def _expire(self, id: str) -> None:
        self._reply(id, SILENT, "", 0.0)

    def answer(self, node: str, order: Order, done: Done, status: int, maker: str, advice_ms: float) -> None:
        """Send a node's answer to its caller."""
        if order.origin != CALLERS:
            return self._reply(order.id, status, maker, advice_ms)
        link = self.lines.between(node, CALLERS)
        link.carry(ANSWER_BYTES, self._reply, order.id, status, maker, advice_ms)

    def _reply(self, id: str, status: int, maker: str, advice_ms: float) -> None:
        pending = self._pending.pop(id, None)
        if pending is not None:
            pending[1](status, maker, advice_ms)

    def leave(self, node: str, id: str) -> None:
        self._pending.pop(id, None)
        for process in (self.nodes[node], *self._retiring[node]):
            self.lines.between(CALLERS, node).carry(0, process.turn, process.gone, id)

    def arrive(self, attempt: Attempt) -> None:
        """Handle the arrival of an attempt's last byte at its server."""
        node, server, order = attempt.node, attempt.server, self.orders.get(attempt.id)
        if not server.up or order is None:
            return
        self.tell(records.Arrived(self._now, attempt.id, node.name, server.name, attempt.began))

        def done(job: Job, how: str) -> None:
            self.tell(records.Ended(self._now, job.id, server.name, how))
            if how != "dropped" and not attempt.over:
                report = server.report() if server.tier.reports else None
                link = self.lines.between(server.name, node.name)
                link.carry(ANSWER_BYTES, node.turn, node.answered, attempt, how, report)

        attempt.job = self.job(order, server, node.name, attempt.new, done)
        server.submit(attempt.job)

    def abandon(self, attempt: Attempt) -> None:
        """Close an attempt's connection; the server notices after the network delay."""
        server = attempt.server
        server.connections = max(0, server.connections - 1)
        self.attempts[server.name].discard(attempt)
        self.lines.between(attempt.node.name, server.name).carry(0, self._on_abandoned, attempt)

    def _on_abandoned(self, attempt: Attempt) -> None:
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
