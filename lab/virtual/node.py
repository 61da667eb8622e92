"""A node in virtual time: the production `Balancer` with simulated connections, timeouts and deadlines.

It does what `dunlinloft.node.node` and `dunlinloft.node.http.upstream` do on sockets, and like them leaves
all decisions to the balancer.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import Result
from dunlinloft.balancer.settings import read_settings
from dunlinloft.fleet import interface as fleet_api
from dunlinloft.node.__main__ import ACCEPT_AFTER_SIGTERM_S
from dunlinloft.node.http.upstream import IDLE_LIMIT_FRACTION
from dunlinloft.node.node import DEADLINE_MARGIN_MS, UNKNOWN_ZONE_RETRY_S
from dunlinloft.node.server_list import STATUSES, start_id
from lab import records
from lab.callers import Done, Order
from lab.records import UNREACHED
from lab.registry import ACTIVE, LEFT, Entry, told_entries
from lab.servers import Job, Server
from lab.settings import settings

if TYPE_CHECKING:
    from lab.virtual.host import VirtualHost
    from lab.virtual.member import Member

REQUEST_BYTES, ANSWER_BYTES = 400, 500
DRAIN_ACCEPT_MS = 1900.0  # time after the start of a drain from which new requests are rejected
RESULTS = {"served": Result.SERVED, "error": Result.ERROR, "turned": Result.REJECTED}


class OpenRequest:
    """A request that has not been answered yet."""

    __slots__ = ("attempts", "done", "ends_ms", "order")

    def __init__(self, order: Order, ends_ms: float, done: Done) -> None:
        self.order, self.ends_ms, self.done = order, ends_ms, done
        self.attempts: list[Attempt] = []


class Attempt:
    """An attempt, pending or finished."""

    __slots__ = ("began", "id", "job", "new", "node", "number", "over", "request", "server")

    def __init__(
        self, node: VirtualNode, request: OpenRequest, server: Server, began: float, new: bool
    ) -> None:
        self.node, self.request, self.server, self.began, self.new = node, request, server, began, new
        self.id, self.number = request.order.id, len(request.attempts)
        self.job: Job | None = None
        self.over = False


class VirtualNode:
    """A process of a node."""

    def __init__(self, host: VirtualHost, name: str, seed: int, max_attempts: int) -> None:
        self._host, self.name = host, name
        self.alive, self.stopped, self.draining_ms = True, False, math.inf
        self.share = 1.0  # share of the core available to the process
        self._wall_ms, self._rate, self._anchor = 0.0, 1.0, (host.now(), host.now())
        self._frozen: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._busy_ms = 0.0
        self.ending = False
        self._open_requests: dict[str, OpenRequest] = {}
        self._idle: dict[str, deque[float]] = {}
        self._in_service: set[int] = set()
        self._servers_by_number: dict[int, Server] = {}
        self.max_attempts = max_attempts
        self.settings = read_settings(settings(host.plan, name, max_attempts))
        self.balancer = Balancer(self.settings, seed)
        self._events: deque[api.Event] = deque()
        self._handling = False
        self.written = 0
        self._cpu_ms = host.scenario.nodes.cpu_ms
        self._tier = host.scenario.tiers[int(name in host.names.server_nodes)]
        self.zones = host.names.zones
        self.member: Member | None = None
        if host.network is not None:
            self.member = host.network.join(self)
        self.tell_list(host.agent(name).index, host.agent(name).full_list(), True)

    # Clocks and turns

    def now(self) -> float:
        """Return the process's monotonic clock."""
        host_time, own_time = self._anchor
        return own_time + (self._host.now() - host_time) * self._rate

    def skew(self, wall_ms: float, drift: float) -> None:
        """Set the clock errors from now on; the monotonic clock never steps."""
        self._anchor = self._host.now(), self.now()
        self._wall_ms, self._rate = wall_ms, 1.0 + drift

    def turn(self, do: Callable[..., None], *args: Any) -> None:
        """Call `do` in this process; ignored if it is dead, deferred while it is stopped."""
        if not self.alive:
            return
        if self.stopped:
            self._frozen.append((do, args))
        else:
            do(*args)

    def after(self, delay_ms: float, do: Callable[..., None], *args: Any) -> None:
        """Call `do` after a delay by the process's own clock."""
        self._host.after(delay_ms / self._rate, self.turn, do, *args)

    def cont(self) -> None:
        """Resume the process, as SIGCONT does."""
        self.stopped = False
        frozen, self._frozen = self._frozen, []
        for do, args in frozen:
            self.turn(do, *args)
        if self.member is not None:
            self.member.network.wake(self.member)

    def stop(self) -> None:
        """Suspend the process, as SIGSTOP does."""
        self.stopped = True
        if self.member is not None:
            self.member.stopped = True

    def receive_request(self, order: Order, done: Done) -> None:
        """Receive a request's last byte; it is processed when the core is free."""
        if not self.alive or (
            self.ending and self._host.now() >= self.draining_ms + 1000.0 * ACCEPT_AFTER_SIGTERM_S
        ):
            return self._host.answer(self.name, order, done, UNREACHED, "", 0.0)
        now = self._host.now()
        self._busy_ms = max(self._busy_ms, now) + self._cpu_ms / self.share
        self._host.after(self._busy_ms - now, self._begin, order, done)

    def _begin(self, order: Order, done: Done) -> None:
        if self.alive:
            self.turn(self._accept, order, done)

    # Requests

    def _accept(self, order: Order, done: Done) -> None:
        if not self.ending and self._host.now() >= self.draining_ms + DRAIN_ACCEPT_MS:
            return self._host.answer(self.name, order, done, 503, "", 0.0)
        now = self.now()
        request = self._open_requests[order.id] = OpenRequest(order, now + order.budget_ms, done)
        self.after(order.budget_ms, self._overdue, order.id, request)
        ttl = max(0.0, order.budget_ms - DEADLINE_MARGIN_MS)
        pin, known = self._pinned_zone(order)
        if not known:
            return self._finish(order.id, 503, "", 1000.0 * UNKNOWN_ZONE_RETRY_S)
        self.handle(api.Request(order.id, order.name, ttl, order.tenant or None, False, pinned_group=pin))

    def _pinned_zone(self, order: Order) -> tuple[str | None, bool]:
        """Return the zone to which the fleet binds a request, if any, and whether that is known."""
        if self.member is None:
            return None, True
        if order.tenant:
            self.member.asked(order.tenant)
        if not order.key:
            return None, True
        return self.member.zone_of_key(self.balancer.classes[order.name], order.key, order.is_retry)

    def leave(self) -> None:
        """Announce the departure to the fleet."""
        if self.member is not None and self.member.alive:
            self.member.network.give(self.member, fleet_api.LeaveRequested())
            self.member.alive = False

    def hand_over(self) -> None:
        """End this process's membership; another process of this node continues it."""
        if self.member is not None:
            self.member.alive = False

    def gone(self, id: str) -> None:
        """Handle a caller's disconnect."""
        if self._open_requests.pop(id, None) is not None:
            self.handle(api.ClientDisconnected(id))

    def _finish(self, id: str, status: int, maker: str = "", advice_ms: float = 0.0) -> None:
        request = self._open_requests.pop(id, None)
        if request is not None:
            self._host.answer(self.name, request.order, request.done, status, maker, advice_ms)
            self.end_if_done()

    def end_if_done(self) -> None:
        """End a process told to terminate once all accepted requests are answered."""
        over = self._host.now() >= self.draining_ms + 1000.0 * ACCEPT_AFTER_SIGTERM_S
        if self.ending and self.alive and over and not self._open_requests:
            self._host.ended(self)

    def _overdue(self, id: str, request: OpenRequest) -> None:
        if self._open_requests.get(id) is request:
            self._finish(id, 504)
            self.handle(api.ClientDisconnected(id))

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancer and perform its actions; nested events are queued."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        while self._events:
            for action in self.decide(self._events.popleft()):
                self.act(action)
        self._handling = False

    def decide(self, event: api.Event) -> list[api.Action]:
        """Return the balancer's actions for an event."""
        return self.balancer.handle(event, self.now())

    def act(self, action: api.Action) -> None:
        """Perform one action of the balancer."""
        match action:
            case api.Send():
                self.send(action.id, action.server, action.timeout_ms)
            case api.SetTimer():
                self.after(action.delay_ms, self.handle, api.TimerFired(action.token))
            case api.Fail():
                self._finish(action.id, 502)
            case api.Reject():
                self._finish(action.id, 503, "", action.retry_after_ms)
            case api.Cancel():
                request = self._open_requests.get(action.id)
                if request is not None and action.attempt < len(request.attempts):
                    self._abandon(request.attempts[action.attempt], Result.CANCELLED)
            case api.CloseIdle():
                server = self._servers_by_number.get(action.server)
                if server is not None:
                    self._close_idle(server)

    # Attempts

    def send(self, id: str, number: int, timeout_ms: float) -> None:
        """Start an attempt on an idle connection or on a new one."""
        request, server = self._open_requests.get(id), self._servers_by_number.get(number)
        if request is None or server is None or number not in self._in_service:
            count = len(request.attempts) if request is not None else 0
            event = api.AttemptCompleted(id, count, number, Result.NOT_SENT, 0.0, request is None)
            return self.handle(event)
        now = self._host.now()
        timeout_ms = max(0.0, min(timeout_ms, request.ends_ms - DEADLINE_MARGIN_MS - self.now()))
        new = not self._reuse(server, now)
        attempt = Attempt(self, request, server, now, new)
        request.attempts.append(attempt)
        link = self._host.lines.between(self.name, server.name)
        if new:
            refused = link.refuse or (not server.up and server.reachable)
            if refused or (server.up and server.connections >= server.tier.connections):
                rtt = self._host.lines.rtt_ms(self.name, server.name)
                return self._host.after(rtt, self.turn, self._complete, attempt, Result.UNREACHABLE, None)
            if link.cut or not server.reachable:
                wait = min(timeout_ms, self.settings.connect_timeout_ms)
                return self.after(wait, self._complete, attempt, Result.UNREACHABLE, None)
            server.connections += 1
        elif not server.up and server.reachable:  # the connection is reset before the request is sent
            rtt = self._host.lines.rtt_ms(self.name, server.name)
            return self._host.after(rtt, self.turn, self._complete, attempt, Result.RESET, None)
        self._host.attempts[server.name].add(attempt)
        self.written += 1
        self.after(timeout_ms, self._abandon, attempt, Result.TIMEOUT)
        if new:
            rtts = 1.0 + server.tier.handshake_rtts
            wait = rtts * self._host.lines.rtt_ms(self.name, server.name)
            self._host.after(wait, link.carry, REQUEST_BYTES, self._host.arrive, attempt)
        else:
            link.carry(REQUEST_BYTES, self._host.arrive, attempt)

    def _reuse(self, server: Server, now: float) -> bool:
        idle = self._idle.get(server.name)
        reusable_ms = IDLE_LIMIT_FRACTION * self.settings.keepalive_ms
        while idle:
            if now - idle.pop() < reusable_ms:
                return True
            server.connections -= 1
        return False

    def _close_idle(self, server: Server) -> None:
        idle = self._idle.pop(server.name, None)
        if idle:
            server.connections = max(0, server.connections - len(idle))

    def reset(self, attempt: Attempt) -> None:
        """Handle a connection reset by the death of an attempt's server."""
        self._idle.pop(attempt.server.name, None)
        self.turn(self._complete, attempt, Result.RESET, None)

    def answered(self, attempt: Attempt, outcome: str, report: dict[str, float] | None) -> None:
        """Handle a server's answer."""
        if attempt.over:
            return
        self._idle.setdefault(attempt.server.name, deque()).append(self._host.now())
        self._complete(attempt, RESULTS[outcome], report)

    def _abandon(self, attempt: Attempt, result: Result) -> None:
        if not attempt.over:
            self._host.abandon(attempt)
            self._complete(attempt, result, None)

    def _complete(self, attempt: Attempt, result: Result, report: dict[str, float] | None) -> None:
        if attempt.over:
            return
        attempt.over = True
        self._host.attempts[attempt.server.name].discard(attempt)
        was_open = self._open_requests.get(attempt.id) is attempt.request
        if was_open and result is Result.SERVED:
            self._finish(attempt.id, 200, attempt.server.name)
        settled = self._open_requests.get(attempt.id) is not attempt.request
        duration_ms = (self._host.now() - attempt.began) * self._rate
        self.handle(
            api.AttemptCompleted(
                attempt.id,
                attempt.number,
                self._host.numbers[attempt.server.name],
                result,
                duration_ms,
                settled,
                report,
            )
        )
        if self.member is not None:
            number = self._host.numbers[attempt.server.name]
            self.member.ended(number, attempt.request.order.name, result, duration_ms)

    # Server lists and operator actions

    def tell_list(self, index: int, entries: list[Entry], whole: bool) -> None:
        """Handle a server list update from the discovery agent."""
        now = self._host.now()
        self._host.tell(records.Told(now, self.name, index, whole, told_entries(entries)))
        offset = self.now() - now - self._wall_ms  # from its wall clock to its monotonic clock
        listed = []
        for entry in entries:
            server, number = self._host.servers[entry.name], self._host.numbers[entry.name]
            if entry.status == LEFT:
                self._close_idle(server)
            self._servers_by_number[number] = server
            (self._in_service.add if entry.status == ACTIVE else self._in_service.discard)(number)
            started = entry.since_ms + offset if entry.since_ms > 0.0 else None
            listed.append(
                api.ServerEntry(number, server.zone, "", server.cell, STATUSES[entry.status], 1.0, started)
            )
        if self.member is not None:
            numbers = self._host.numbers
            starts = {numbers[entry.name]: start_id(entry.since_ms) for entry in entries}
            self.member.listed(starts, {numbers[entry.name]: entry.since_ms for entry in entries})
        kind = api.ListUpdateKind.CACHED if whole else api.ListUpdateKind.DELTA
        self.handle(api.ServerListUpdate(kind, index, listed))

    def reload(self, max_attempts: int) -> None:
        """Apply new settings."""
        self.max_attempts = max_attempts
        self.settings = read_settings(settings(self._host.plan, self.name, max_attempts))
        self.handle(api.Reconfigured(self.settings))

    def placed(self, number: int, nodes: int) -> None:
        """Apply a new position of this node among its siblings."""
        self.settings = replace(self.settings, replica_index=number, replicas=nodes)
        self.handle(api.Reconfigured(self.settings))

    def belief(self) -> dict[str, float]:
        """Return the figures that the admin endpoint would report."""
        shares: dict[str, float] = {}
        for tenant, counts in self.balancer.quota_counts.items():
            shares |= {f"within.{tenant}": float(counts.within), f"over.{tenant}": float(counts.over)}
        if self.member is not None:
            shares["fleet_sent_bytes"] = float(self.member.network.bytes[self.name])
            if self.member.releases is not None:
                shares["release_share"] = self.member.shared.follower.order.share
        return shares | {
            "inflight": float(len(self._open_requests)),
            "hosts_listed": float(len(self.balancer.server_set.servers)),
            "hosts_down": float(self.balancer.excluded_count(self.now())),
            "backend_calls": float(self.written),
        }

    def die(self) -> None:
        """End immediately: open requests are lost and connections are reset."""
        self.alive = False
        if self.member is not None:
            self.member.alive = False
        open_requests, self._open_requests = self._open_requests, {}
        for open_request in open_requests.values():
            for attempt in open_request.attempts:
                if not attempt.over:
                    attempt.over = True
                    self._host.abandon(attempt)
            # The caller finds its kept-alive connection closed, retries on a new one and gets no connection.
            self._host.answer(self.name, open_request.order, open_request.done, UNREACHED, "", 0.0)
        for name, idle in self._idle.items():
            server = self._host.servers[name]
            server.connections = max(0, server.connections - len(idle))
        self._idle.clear()
