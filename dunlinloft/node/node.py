"""The node: turns socket activity into events for the balancer and performs the actions that it returns.

Only this module calls `Balancer.handle`, one event at a time: an event raised by an action is queued.
Every accepted request is answered exactly once, at the latest by a timer at its deadline.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

from dunlinloft.balancer import interface as api
from dunlinloft.balancer.balancer import Balancer
from dunlinloft.balancer.interface import Result
from dunlinloft.node import logs
from dunlinloft.node.addresses import Address
from dunlinloft.node.admin_reply import AdminReply
from dunlinloft.node.clock import now_ms
from dunlinloft.node.config import Config
from dunlinloft.node.discovery import Discovery
from dunlinloft.node.figures import NodeMetrics
from dunlinloft.node.fleet_config import FleetConfig
from dunlinloft.node.http.bodies import Memory
from dunlinloft.node.http.frontend import ClientRequest, Frontend, InvalidRequest, Response, ResponseWriter
from dunlinloft.node.http.upstream import Attempt, FlowControl, ServerResponse, Upstream
from dunlinloft.node.management import MAX_CALLERS, AdminEndpoint
from dunlinloft.node.server_list import ServerList, key_id

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import Peers
    from dunlinloft.node.fleet.shared import SharedHost

# Kept back from a budget: part of it passed before the request was read, and the response takes time too.
DEADLINE_MARGIN_MS = 10.0
RESERVED_SOCKETS = 24  # of the limit: listener, discovery, event loop, log, and half-closed sockets
AMPLE_SOCKET_SHARE = 0.25  # of the limit: while this much is free, idle client connections stay open
DISCOVERY_WAIT_S = 5.0  # before a process that knows no server serves anyway: it must be ready within 10 s
UNKNOWN_ZONE_RETRY_S = 0.5  # Retry-After of a retry whose zone is not known yet
DISCOVERY_RETRY_S = 0.25  # mean delay after a failed call to the node's own agent, if it pushes lists


class OpenRequest:
    """An accepted request that has not been answered yet, with its attempts."""

    __slots__ = ("_node", "answering", "attempts", "complete_ms", "deadline_ms", "deadline_timer", "message")

    def __init__(self, node: Node, message: ClientRequest, answering: ResponseWriter) -> None:
        self._node, self.message, self.answering = node, message, answering
        self.complete_ms = self.deadline_ms = math.inf  # until the request is complete
        self.attempts: list[Attempt] = []
        self.deadline_timer: asyncio.TimerHandle | None = None

    def body_complete(self) -> None:
        self._node.body_complete(self)

    def client_disconnected(self) -> None:
        self._node.client_disconnected(self)


class AttemptHandler:
    """Reports the progress of one attempt of a request to the node."""

    __slots__ = ("_id", "_request", "_node", "_number", "_sent_ms", "_server", "timeout_ms")

    def __init__(self, node: Node, request: OpenRequest, server: int, timeout_ms: float) -> None:
        self._node, self._request, self._id = node, request, request.message.id
        self._number, self._server, self._sent_ms = len(request.attempts), server, now_ms()
        self.timeout_ms = timeout_ms

    def _elapsed_ms(self) -> float:
        """Return the time since the attempt was sent or the request was complete, whichever was later."""
        began_ms = max(self._sent_ms, self._request.complete_ms)
        return max(0.0, now_ms() - began_ms) if began_ms < math.inf else 0.0

    def may_send(self) -> bool:
        return self._node.may_send(self._request, self._server)

    def response_started(self, answer: ServerResponse, flow: FlowControl) -> None:
        event = api.StreamStarted(
            self._id, self._number, self._server, self._elapsed_ms(), answer.load_report
        )
        self._node.response_started(self._request, event, answer, flow)

    def forward_body(self, data: bytes) -> None:
        self._request.answering.forward_body(data)

    def attempt_ended(self, result: Result, answer: ServerResponse | None) -> None:
        self._node.attempt_ended(
            self._request,
            api.AttemptCompleted(
                self._id, self._number, self._server, result, self._elapsed_ms(), False,
                answer.load_report if answer is not None else None,
                self._request.message.body.is_replayable(),
            ),
            answer,
        )  # fmt: skip


def request_head(message: ClientRequest, address: Address, timeout_ms: float, chunked: bool) -> bytes:
    """Return the request line and headers that are sent to a server."""
    parts = [
        message.method, b" ", message.target, b" HTTP/1.1\r\nHost: ",
        f"{address[0]}:{address[1]}\r\nX-Call-Id: {message.id}\r\n".encode(),
        f"X-Budget: {timeout_ms / 1000.0:.3f}\r\n".encode(),
    ]  # fmt: skip
    if message.key is not None:
        parts += [b"Idempotency-Key: ", message.key, b"\r\n"]
    if message.content_type is not None:
        parts += [b"Content-Type: ", message.content_type, b"\r\n"]
    length = message.body.size if message.body.complete else message.body.length
    if chunked:
        parts.append(b"Transfer-Encoding: chunked\r\n")
    elif length or message.method != b"GET":
        parts.append(f"Content-Length: {length}\r\n".encode())
    return b"".join((*parts, b"\r\n"))


class Node:
    """One balancing node."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        self.config, self._loop = config, loop
        settings = config.settings
        self._balancer = Balancer(settings, config.seed)
        self._rng = random.Random(config.seed)
        self._process_count = 1  # processes of this node, which share its limits
        self._socket_limit = config.sockets  # of this process
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._open_requests: dict[str, OpenRequest] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}  # in flight, by request and attempt number
        self.memory = Memory(config.memory_mb)
        self._addresses: dict[int, Address] = {}
        self._in_service: set[int] = set()
        self._discovery_overdue = False  # discovery has not answered within `DISCOVERY_WAIT_S`
        self.metrics = NodeMetrics(self._balancer.classes)
        self.metrics.gauge(
            "inflight",
            lambda: sum(request.complete_ms < math.inf for request in self._open_requests.values()),
        )
        self.metrics.gauge("hosts_listed", lambda: len(self._addresses))
        self.metrics.gauge("hosts_down", lambda: self._balancer.excluded_count(now_ms()))
        self._upstream = Upstream(
            loop,
            settings.connect_timeout_ms,
            settings.keepalive_ms,
            self._available_sockets,
            self._free_socket,
            self.metrics.on_attempt_written,
            self.memory,
        )
        self._discovery = Discovery(loop, config.discovery, config.known.index, self._on_server_list)
        self.frontend = Frontend(
            self.accept,
            self.can_serve,
            self._available_sockets,
            lambda: self._available_sockets() > AMPLE_SOCKET_SHARE * config.sockets,
            self._free_socket,
            lambda cls: self.metrics.on_request_completed(cls, 503),
            self.memory,
        )
        self.admin = AdminEndpoint(loop)
        self.admin.add("/admin/health", "GET", self._health)
        self.admin.add("/admin/stats", "GET", lambda: AdminReply(200, self.metrics.to_json()))
        self.admin.add("/admin/quiesce", "POST", self._quiesce)
        self.admin.add("/admin/resume", "POST", self._resume)
        self._reserved_sockets = RESERVED_SOCKETS + (MAX_CALLERS if config.management is not None else 0)
        self._peers: Peers | None = None
        self._shared: SharedHost | None = None  # the state shared with the peers
        if config.fleet is not None:
            self._join_fleet(config.fleet)

    def _join_fleet(self, fleet: FleetConfig) -> None:
        """Become a member of a fleet; its modules are imported here, so a standalone node loads none."""
        from dunlinloft.node.fleet import peers

        self._peers = peers.Peers(
            self._loop, peers.MemberIdentity.from_config(self.config), fleet, self._on_position_changed,
            self._open_requests.__len__, self._balancer, self._handle, self.config.settings,
        )  # fmt: skip
        self._shared = self._peers.shared
        self._reserved_sockets += peers.FLEET_SOCKETS
        for name, read in self._peers.gauges().items():
            self.metrics.gauge(name, read)
        self.admin.add("/admin/fleet", "GET", self._peers.status)
        if self._peers.cells is not None:
            self.admin.add("/admin/fleet/cell", "GET", self._peers.cells.status)
        if self._peers.roles is not None:
            self.admin.add("/admin/duties", "GET", self._peers.roles.status)
            self.admin.add_query("/admin/duties/hand-over", "POST", self._peers.roles.hand_over)
            self.admin.add("/admin/ledger", "GET", self._peers.roles.table_status)
            self.admin.add_query("/admin/ledger/enter", "POST", self._peers.roles.write_row)
            self.admin.add("/admin/voters", "GET", self._peers.roles.voters_status)
            self.admin.add_query("/admin/voters/change", "POST", self._peers.roles.change_voters)
        if self._shared is not None:
            self.admin.add("/admin/shared", "GET", self._shared.status)
        if self._peers.releases is not None:
            self.admin.add("/admin/releases", "GET", self._peers.releases_status)
            self.admin.add_query("/admin/releases/start", "POST", self._peers.releases.start)
            self.admin.add_query("/admin/releases/say", "POST", self._peers.releases.command)

    def _on_position_changed(self, number: int, nodes: int) -> None:
        """Adapt the node's share of servers and budgets to its position in the fleet."""
        self._handle(api.Reconfigured(replace(self.config.settings, replica_index=number, replicas=nodes)))

    def leave_fleet(self, handing_over: bool) -> None:
        """Tell the fleet that this process ends, before it drains."""
        if self._peers is not None:
            self._peers.leave_fleet(handing_over)

    def start(self) -> None:
        """Start the balancer with the last known server list, and subscribe to discovery."""
        if self._peers is not None:
            self._peers.start()
        self._apply_server_list(self.config.known, api.ListUpdateKind.CACHED)
        self._handle(api.Started())
        if not self.config.settings.subscribes:
            self._discovery.subscribe()
        self._loop.call_later(DISCOVERY_WAIT_S, self._stop_waiting_for_discovery)

    def _stop_waiting_for_discovery(self) -> None:
        """Serve although discovery has not answered: a process must become ready within a bounded time."""
        if not self._discovery.has_answered and not self._in_service:
            logs.warning("unheard", "discovery has not answered, no server is known: serving anyway")
            self._discovery_overdue = True

    def reload(self, config: Config) -> None:
        """Apply what may change at run time: the address of discovery, and the settings."""
        settings = config.settings
        self.config = replace(self.config, settings=settings, discovery=config.discovery, keys=config.keys)
        self.metrics.add_classes(cls.name for cls in settings.classes)
        self._upstream.configure_timeouts(settings.connect_timeout_ms, settings.keepalive_ms)
        self._handle(api.Reconfigured(settings))
        if self._peers is not None:
            self._peers.on_settings_changed(settings.replica_index, settings.replicas)
        if self._shared is not None:
            self._shared.reconfigure(settings)
        self.metrics.reconfig_ok += 1
        self._discovery.change_address(config.discovery)

    def share_sockets(self, others: list[int]) -> None:
        """Share the node's limits with its other processes, given the sockets that each of them holds."""
        processes = 1 + len(others)
        limit = self.config.sockets
        # Sockets that another process holds beyond its share are unavailable until it has closed them.
        self._socket_limit = min(limit // processes, limit - sum(others)) if others else limit
        if processes != self._process_count:
            self._process_count = processes
            self.memory.set_limit(self.config.memory_mb / processes)
            self._handle(api.ProcessCount(processes))
        while self._available_sockets() < 0 and self._upstream.close_oldest_idle():
            pass
        self.frontend.close_idle_connections(-self._available_sockets())

    def sockets(self) -> int:
        """Return the number of sockets of this process, with the reserved ones."""
        return RESERVED_SOCKETS + self.admin.count() + self.frontend.count() + self._upstream.count()

    def can_serve(self) -> bool:
        """Whether requests can be handled.

        A server is known, or discovery is overdue: then requests are refused, which is harmless.
        """
        return bool(self._in_service) or (self._discovery_overdue and not self._discovery.has_answered)

    async def stop(self) -> None:
        """Finish all open requests and close."""
        await self.frontend.shut_down()
        self._discovery.close()
        self.admin.close()
        self.leave_fleet(handing_over=False)

    def _health(self) -> AdminReply:
        ready = self.frontend.ready()
        status = 200 if ready else 503
        return AdminReply(status, {"ready": ready, "draining": self.frontend.draining()})

    def _quiesce(self) -> AdminReply:
        logs.info("draining", "draining")
        self.frontend.quiesce()
        if self._peers is not None:
            self._peers.set_draining(True)
        return AdminReply(200, {"draining": True})

    def _resume(self) -> AdminReply:
        logs.info("resumed", "resumed: no longer draining")
        self.frontend.resume()
        if self._peers is not None:
            self._peers.set_draining(False)
        return AdminReply(200, {"draining": False})

    def _free_socket(self) -> bool:
        """Close an idle connection, the one least likely to be needed first; False if there is none."""
        silent = self.frontend.close_idle_connection(silent=True)
        return silent or self._upstream.close_oldest_idle() or self.frontend.close_idle_connection()

    def _available_sockets(self) -> int:
        return self._socket_limit - self._reserved_sockets - self.frontend.count() - self._upstream.count()

    # Requests

    def accept(self, message: ClientRequest, answering: ResponseWriter) -> OpenRequest:
        """Accept a request, whose body may be incomplete; from now on it gets exactly one answer."""
        if message.cls not in self._balancer.classes:
            raise InvalidRequest("no such class")
        if self._balancer.classes[message.cls].idempotency is api.Idempotency.KEYED and message.key is None:
            raise InvalidRequest("Idempotency-Key is missing")  # servers could not deduplicate its retries
        if message.id in self._open_requests:
            raise InvalidRequest("a request with this X-Call-Id is open")
        pin, key, known = self._affinity_of(message)
        request = self._open_requests[message.id] = OpenRequest(self, message, answering)
        body_complete = message.body.complete
        if body_complete:
            self._start_deadline(request)
        ttl_ms = max(0.0, message.budget_ms - DEADLINE_MARGIN_MS)
        if not known:  # an earlier attempt may have run in a zone that only another node knows
            self._finish(
                message.id,
                Response(503, b"not known yet where it belongs", retry_after_s=UNKNOWN_ZONE_RETRY_S),
            )
            return request
        event = api.Request(
            message.id, message.cls, ttl_ms, message.tenant, message.is_retry, body_complete, pin, key
        )
        self._handle(event)
        return request

    def _affinity_of(self, message: ClientRequest) -> tuple[str | None, int | None, bool]:
        """Return the zone and the key that a request is bound to, if any, and whether the zone is known."""
        cls, pin, known = self._balancer.classes[message.cls], None, True
        if self._shared is not None:
            self._shared.on_request(message.tenant)
        if message.key is None or not (cls.affinity or self._shared is not None):
            return None, None, True
        key = key_id(message.key)
        if self._shared is not None:
            pin, known = self._shared.zone_of_key(cls, key, message.is_retry)
        return pin, key, known

    def _start_deadline(self, request: OpenRequest, with_timer: bool = True) -> None:
        request.complete_ms = now_ms()
        request.deadline_ms = request.complete_ms + request.message.budget_ms
        if with_timer:  # a response that is already being streamed has no deadline
            request.deadline_timer = self._loop.call_later(
                request.message.budget_ms / 1000.0, self._on_deadline, request
            )

    def body_complete(self, request: OpenRequest) -> None:
        """Handle the end of the body of an accepted request: its budget runs from now on."""
        if self._open_requests.get(request.message.id) is not request:
            return
        attempt = request.attempts[-1] if request.attempts else None
        self._start_deadline(request, with_timer=attempt is None or not attempt.streaming)
        self._handle(api.RequestComplete(request.message.id))
        if attempt is not None and isinstance(attempt.owner, AttemptHandler):
            remaining_ms = request.deadline_ms - DEADLINE_MARGIN_MS - now_ms()
            self._upstream.limit(attempt, min(attempt.owner.timeout_ms, remaining_ms))

    def client_disconnected(self, request: OpenRequest) -> None:
        """Handle that the client of a request has disconnected."""
        if not self._remove_request(request):
            return
        self._handle(api.ClientDisconnected(request.message.id))
        # A request body that is still uploaded, or a response that is streamed, can't be completed.
        for attempt in request.attempts:
            if attempt.streaming or not request.message.body.complete:
                attempt.terminate(Result.CANCELLED)

    def _remove_request(self, request: OpenRequest) -> bool:
        """Remove a request if it is open; the caller that gets True must give its only answer."""
        if self._open_requests.get(request.message.id) is not request:
            return False
        del self._open_requests[request.message.id]
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        return True

    def _finish(self, id: str, reply: Response) -> None:
        request = self._open_requests.get(id)
        if request is not None and self._remove_request(request):
            self.metrics.on_request_completed(request.message.cls, reply.status)
            request.answering.answer(reply)
            request.message.body.close()

    def _on_deadline(self, request: OpenRequest) -> None:
        """Fail a request that the balancer has not ended by its deadline, whatever the reason."""
        remaining_ms = request.deadline_ms - now_ms()
        if remaining_ms > 0.0:  # the loop's clock may run ahead, and a request must not fail early
            request.deadline_timer = self._loop.call_later(
                remaining_ms / 1000.0 + 0.001, self._on_deadline, request
            )
        elif self._remove_request(request):
            logs.warning("overdue", "request %(id)s was not ended by its deadline", id=request.message.id)
            self.metrics.on_request_completed(request.message.cls, 504)
            request.answering.answer(Response(504, b"no answer in time"))
            self._handle(api.ClientDisconnected(request.message.id))
            request.message.body.close()

    # Balancer

    def _handle(self, event: api.Event) -> None:
        """Pass an event to the balancer and perform its actions; events raised meanwhile are queued."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self._balancer.handle(event, now_ms())
                except Exception:  # a request that stays open is failed by its deadline timer
                    logs.exception("error", "handling %(what)s", what=type(event).__name__)
                    continue
                for action in actions:
                    self._perform_guarded(action)
        finally:
            self._handling = False

    def _perform_guarded(self, action: api.Action) -> None:
        """Perform an action; a failure is logged, so that the other actions of the event are performed."""
        try:
            self._perform(action)
        except Exception:
            logs.exception("error", "performing %(what)s", what=type(action).__name__)

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self._handle, api.TimerFired(action.token))
            case api.Fail():
                self._finish(action.id, Response(502, b"failed"))
            case api.Reject():
                self._finish(
                    action.id, Response(503, b"refused", retry_after_s=action.retry_after_ms / 1000.0)
                )
            case api.Cancel():
                attempt = self._attempts.get((action.id, action.attempt))
                if attempt is not None:
                    attempt.terminate(Result.CANCELLED)
            case api.CloseIdle():
                self._upstream.close_idle(action.server)
            case api.Subscribe():
                self._discovery.subscribe()
            case api.Log():
                logs.info("module", "%(said)s", said=action.text)

    # Attempts

    def _send(self, action: api.Send) -> None:
        request, server = self._open_requests.get(action.id), action.server
        if request is not None and self._caller_has_left(request):
            request = None
        if request is None or server not in self._in_service or not request.message.body.is_replayable():
            number = len(request.attempts) if request is not None else 0
            repeatable = request is not None and request.message.body.is_replayable()
            settled = request is None
            event = api.AttemptCompleted(
                action.id, number, server, Result.NOT_SENT, 0.0, settled, None, repeatable
            )
            return self._handle(event)
        # Bounded by the remaining budget: the outcome must be known before the answer is due.
        timeout_ms = max(0.0, min(action.timeout_ms, request.deadline_ms - DEADLINE_MARGIN_MS - now_ms()))
        address, body = self._addresses[server], request.message.body
        chunked = not body.complete and body.length is None
        handler, number = AttemptHandler(self, request, server, timeout_ms), len(request.attempts)
        head = request_head(request.message, address, timeout_ms, chunked)
        attempt = self._upstream.send(
            server, address, head, body, chunked, timeout_ms, handler, action.send_window_ms
        )
        request.attempts.append(attempt)
        if not attempt.finished:
            self._attempts[action.id, number] = attempt

    def may_send(self, request: OpenRequest, server: int) -> bool:
        """Whether an attempt should still be sent."""
        return (
            self._open_requests.get(request.message.id) is request
            and server in self._in_service
            and not self._caller_has_left(request)
        )

    def _caller_has_left(self, request: OpenRequest) -> bool:
        """Whether the client has disconnected, checked right before an attempt would begin."""
        if request.answering.is_disconnected():
            self.client_disconnected(request)
            return True
        return False

    def response_started(
        self, request: OpenRequest, event: api.StreamStarted, answer: ServerResponse, flow: FlowControl
    ) -> None:
        """Begin to stream a response: the request can't be retried any more, and has no deadline."""
        if self._open_requests.get(request.message.id) is not request:  # its client has disconnected
            attempt = self._attempts.get((event.id, event.attempt))
            if attempt is not None:
                self._loop.call_soon(attempt.terminate, Result.CANCELLED)
            return
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        request.answering.start_response(answer.content_type, answer.length, flow)
        self._handle(event)

    def attempt_ended(
        self, request: OpenRequest, event: api.AttemptCompleted, answer: ServerResponse | None
    ) -> None:
        """Handle the end of an attempt; a complete or a partly streamed response ends the request too."""
        attempt = self._attempts.pop((event.id, event.attempt), None)
        is_open = self._open_requests.get(event.id) is request
        if is_open and attempt is not None and attempt.streaming:
            self._remove_request(request)
            served = event.result is Result.SERVED
            self.metrics.on_request_completed(request.message.cls, 200 if served else 502)
            request.answering.finish() if served else request.answering.terminate()
            request.message.body.close()
        elif is_open and event.result is Result.SERVED and answer is not None:
            self._finish(event.id, Response(200, answer.body, answer.content_type))
        event.final = self._open_requests.get(event.id) is not request
        self._handle(event)
        if self._shared is not None:
            self._shared.on_attempt_completed(
                event.server, request.message.cls, event.result, event.duration_ms
            )

    # Discovery

    def _on_server_list(self, listing: ServerList | None, why: str) -> None:
        if listing is not None:
            self._apply_server_list(
                listing, api.ListUpdateKind.SNAPSHOT if listing.is_snapshot else api.ListUpdateKind.DELTA
            )
            return
        logs.info("discovery failed", "discovery: %(why)s", why=why)
        if self.config.settings.subscribes:
            self._handle(api.ServerListUpdate(api.ListUpdateKind.FAILED))
        else:
            self._loop.call_later(self.retry_delay_s(), self._discovery.subscribe)

    def retry_delay_s(self) -> float:
        """Return the delay before the next call, with jitter: calls often fail at all nodes at once."""
        return DISCOVERY_RETRY_S * (0.5 + self._rng.random())

    def _apply_server_list(self, listing: ServerList, kind: api.ListUpdateKind) -> None:
        if kind is not api.ListUpdateKind.DELTA:
            for server in self._addresses.keys() - listing.addresses.keys():
                self._forget_server(server)
        for entry in listing.entries:
            if entry.health is api.Health.TERMINATED:
                self._forget_server(entry.server)
                continue
            self._addresses[entry.server] = listing.addresses[entry.server]
            if entry.health is api.Health.IN_SERVICE:
                self._in_service.add(entry.server)
            else:
                self._in_service.discard(entry.server)
        self._handle(api.ServerListUpdate(kind, listing.index, listing.entries))
        if self._shared is not None:
            self._shared.on_server_list(listing)

    def _forget_server(self, server: int) -> None:
        self._in_service.discard(server)
        self._addresses.pop(server, None)
        self._upstream.forget_server(server)
