"""The node: turns what happens on sockets into the module's events and does what it answers.

Only this file calls `Balancer.handle`, one event at a time: an event that an action raises is queued.
Every request taken is answered exactly once, at the latest by a backstop at its deadline.
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
from dunlinloft.node.figures import Figures
from dunlinloft.node.fleet_config import FleetConfig
from dunlinloft.node.http.bodies import Memory
from dunlinloft.node.http.frontend import ClientRequest, Frontend, InvalidRequest, Response, ResponseWriter
from dunlinloft.node.http.upstream import Attempt, FlowControl, ServerResponse, Upstream
from dunlinloft.node.management import MAX_CALLERS, AdminEndpoint
from dunlinloft.node.server_list import ServerList, key_id

if TYPE_CHECKING:
    from dunlinloft.node.fleet.peers import Peers
    from dunlinloft.node.fleet.shared import SharedHost

MARGIN_MS = 10.0  # of a budget: it ran before the request was read, and the answer takes its time
SPARE_SOCKETS = 24  # of the limit: listener, discovery, event loop, log, and sockets half closed
PLENTY_SHARE = 0.25  # of the limit: with so much room idle callers may stay
UNHEARD_S = 5.0  # for discovery to answer a process that knows no server: it is ready within 10 s anyway
KNOWN_AGAIN_S = 0.5  # what is advised to a repeat whose place is not known yet
PUSHED_RETRY_S = 0.25  # on average after a failure of the node's own agent, where lists come unasked


class Live:
    """A request that is owed its answer, with its attempts."""

    __slots__ = ("_node", "answering", "attempts", "backstop", "ends_ms", "message", "whole_ms")

    def __init__(self, node: Node, message: ClientRequest, answering: ResponseWriter) -> None:
        self._node, self.message, self.answering = node, message, answering
        self.whole_ms = self.ends_ms = math.inf  # its time runs once it has come whole
        self.attempts: list[Attempt] = []
        self.backstop: asyncio.TimerHandle | None = None

    def body_complete(self) -> None:
        self._node.body_complete(self)

    def client_disconnected(self) -> None:
        self._node.client_disconnected(self)


class Sending:
    """An attempt of a request as the node follows it."""

    __slots__ = ("_id", "_live", "_node", "_number", "_sent_ms", "_server", "timeout_ms")

    def __init__(self, node: Node, live: Live, server: int, timeout_ms: float) -> None:
        self._node, self._live, self._id = node, live, live.message.id
        self._number, self._server, self._sent_ms = len(live.attempts), server, now_ms()
        self.timeout_ms = timeout_ms

    def _taken_ms(self) -> float:
        """Since it was sent, or since its request was there whole, where that came later."""
        began_ms = max(self._sent_ms, self._live.whole_ms)
        return max(0.0, now_ms() - began_ms) if began_ms < math.inf else 0.0

    def may_send(self) -> bool:
        return self._node.may_send(self._live, self._server)

    def response_started(self, answer: ServerResponse, flow: FlowControl) -> None:
        event = api.StreamStarted(self._id, self._number, self._server, self._taken_ms(), answer.load_report)
        self._node.response_started(self._live, event, answer, flow)

    def forward_body(self, data: bytes) -> None:
        self._live.answering.forward_body(data)

    def attempt_ended(self, result: Result, answer: ServerResponse | None) -> None:
        self._node.attempt_ended(
            self._live,
            api.AttemptCompleted(
                self._id, self._number, self._server, result, self._taken_ms(), False,
                answer.load_report if answer is not None else None, self._live.message.body.is_replayable(),
            ),
            answer,
        )  # fmt: skip


def request_head(message: ClientRequest, address: Address, timeout_ms: float, chunked: bool) -> bytes:
    """The head of a request as it goes to a server."""
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
        self._processes = 1  # that are this node, and share its limits
        self._part = config.sockets  # of them, for this process
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._live: dict[str, Live] = {}
        self._attempts: dict[tuple[str, int], Attempt] = {}  # those that are out
        self.memory = Memory(config.memory_mb)
        self._addresses: dict[int, Address] = {}
        self._in_service: set[int] = set()
        self._unheard = False  # discovery has been silent for so long that nobody waits for it
        self.figures = Figures(self._balancer.classes)
        self.figures.gauge("inflight", lambda: sum(live.whole_ms < math.inf for live in self._live.values()))
        self.figures.gauge("hosts_listed", lambda: len(self._addresses))
        self.figures.gauge("hosts_down", lambda: self._balancer.excluded_count(now_ms()))
        self._upstream = Upstream(
            loop,
            settings.connect_timeout_ms,
            settings.keepalive_ms,
            self._room,
            self._make_room,
            self.figures.on_attempt_written,
            self.memory,
        )
        self._discovery = Discovery(loop, config.discovery, config.known.index, self._on_server_list)
        self.frontend = Frontend(
            self.accept,
            self.serves,
            self._room,
            lambda: self._room() > PLENTY_SHARE * config.sockets,
            self._make_room,
            lambda cls: self.figures.on_request_completed(cls, 503),
            self.memory,
        )
        self.admin = AdminEndpoint(loop)
        self.admin.add("/admin/health", "GET", self._health)
        self.admin.add("/admin/stats", "GET", lambda: AdminReply(200, self.figures.to_json()))
        self.admin.add("/admin/quiesce", "POST", self._quiesce)
        self.admin.add("/admin/resume", "POST", self._resume)
        self._reserved = SPARE_SOCKETS + (MAX_CALLERS if config.management is not None else 0)
        self._peers: Peers | None = None
        self._shared: SharedHost | None = None  # what is shared with them
        if config.fleet is not None:
            self._meet(config.fleet)

    def _meet(self, fleet: FleetConfig) -> None:
        """Become a member of a fleet; a node alone does not even load what that needs."""
        from dunlinloft.node.fleet import peers

        self._peers = peers.Peers(
            self._loop, peers.Own.of(self.config), fleet, self._placed, self._live.__len__, self._balancer,
            self._handle, self.config.settings,
        )  # fmt: skip
        self._shared = self._peers.shared
        self._reserved += peers.SOCKETS
        for name, read in self._peers.figures().items():
            self.figures.gauge(name, read)
        self.admin.add("/admin/fleet", "GET", self._peers.status)
        if self._peers.cells is not None:
            self.admin.add("/admin/fleet/cell", "GET", self._peers.cells.status)
        if self._peers.work is not None:
            self.admin.add("/admin/duties", "GET", self._peers.work.status)
            self.admin.add_query("/admin/duties/hand-over", "POST", self._peers.work.hand_over)
            self.admin.add("/admin/ledger", "GET", self._peers.work.table_status)
            self.admin.add_query("/admin/ledger/enter", "POST", self._peers.work.write_row)
            self.admin.add("/admin/voters", "GET", self._peers.work.voters_status)
            self.admin.add_query("/admin/voters/change", "POST", self._peers.work.change_voters)
        if self._shared is not None:
            self.admin.add("/admin/shared", "GET", self._shared.status)
        if self._peers.releases is not None:
            self.admin.add("/admin/releases", "GET", self._peers.releases_status)
            self.admin.add_query("/admin/releases/start", "POST", self._peers.releases.start)
            self.admin.add_query("/admin/releases/say", "POST", self._peers.releases.command)

    def _placed(self, number: int, nodes: int) -> None:
        """The fleet has this node at another place: its part of servers and budgets follows."""
        self._handle(api.Reconfigured(replace(self.config.settings, replica_index=number, replicas=nodes)))

    def depart(self, handing_over: bool) -> None:
        """Tell the fleet that this process goes, before it drains."""
        if self._peers is not None:
            self._peers.depart(handing_over)

    def start(self) -> None:
        """Let the module begin, with the list as this node last had it."""
        if self._peers is not None:
            self._peers.start()
        self._take_listing(self.config.known, api.ListUpdateKind.CACHED)
        self._handle(api.Started())
        if not self.config.settings.subscribes:
            self._discovery.subscribe()
        self._loop.call_later(UNHEARD_S, self._wait_no_more)

    def _wait_no_more(self) -> None:
        """Serve without a word from discovery: whoever waits for this process can't wait for that too."""
        if not self._discovery.has_answered and not self._in_service:
            logs.warning("unheard", "discovery has not answered and no server is known: serving all the same")
            self._unheard = True

    def reload(self, config: Config) -> None:
        """Take over what may change while the node runs: where discovery is, and the settings."""
        settings = config.settings
        self.config = replace(self.config, settings=settings, discovery=config.discovery, keys=config.keys)
        self.figures.add_classes(cls.name for cls in settings.classes)
        self._upstream.configure_timeouts(settings.connect_timeout_ms, settings.keepalive_ms)
        self._handle(api.Reconfigured(settings))
        if self._peers is not None:
            self._peers.told(settings.replica_index, settings.replicas)
        if self._shared is not None:
            self._shared.reconfigure(settings)
        self.figures.reconfig_ok += 1
        self._discovery.move(config.discovery)

    def share(self, others: list[int]) -> None:
        """Other processes are this node too, and hold so many sockets: keep to a part of what all may use."""
        processes = 1 + len(others)
        limit = self.config.sockets
        # What another holds beyond its part is not to be had before it has let go of it.
        self._part = min(limit // processes, limit - sum(others)) if others else limit
        if processes != self._processes:
            self._processes = processes
            self.memory.set_limit(self.config.memory_mb / processes)
            self._handle(api.ProcessCount(processes))
        while self._room() < 0 and self._upstream.close_oldest_idle():
            pass
        self.frontend.close_idle_connections(-self._room())

    def sockets(self) -> int:
        """How many are in use here, with what else is open."""
        return SPARE_SOCKETS + self.admin.count() + self.frontend.count() + self._upstream.count()

    def serves(self) -> bool:
        """Whether it knows a server to send to, or can't know soon: then it refuses, which is harmless."""
        return bool(self._in_service) or (self._unheard and not self._discovery.has_answered)

    async def stop(self) -> None:
        """Finish all that is held and close."""
        await self.frontend.shut_down()
        self._discovery.close()
        self.admin.close()
        self.depart(handing_over=False)

    def _health(self) -> AdminReply:
        ready = self.frontend.ready()
        status = 200 if ready else 503
        return AdminReply(status, {"ready": ready, "draining": self.frontend.draining()})

    def _quiesce(self) -> AdminReply:
        logs.info("draining", "draining")
        self.frontend.quiesce()
        if self._peers is not None:
            self._peers.drain(True)
        return AdminReply(200, {"draining": True})

    def _resume(self) -> AdminReply:
        logs.info("resumed", "the drain ends")
        self.frontend.resume()
        if self._peers is not None:
            self._peers.drain(False)
        return AdminReply(200, {"draining": False})

    def _make_room(self) -> bool:
        """Give back a socket that nothing depends on: whoever is least likely to need it goes first."""
        silent = self.frontend.close_idle_connection(silent=True)
        return silent or self._upstream.close_oldest_idle() or self.frontend.close_idle_connection()

    def _room(self) -> int:
        return self._part - self._reserved - self.frontend.count() - self._upstream.count()

    # Requests

    def accept(self, message: ClientRequest, answering: ResponseWriter) -> Live:
        """Take a request, whose body may still be coming; from now on it is owed exactly one answer."""
        if message.cls not in self._balancer.classes:
            raise InvalidRequest("no such class")
        if self._balancer.classes[message.cls].idempotency is api.Idempotency.KEYED and message.key is None:
            raise InvalidRequest("Idempotency-Key is missing")  # servers could not drop its repeats
        if message.id in self._live:
            raise InvalidRequest("a request with this X-Call-Id is open")
        pin, key, known = self._bound(message)
        live = self._live[message.id] = Live(self, message, answering)
        body_complete = message.body.complete
        if body_complete:
            self._run_time(live)
        ttl_ms = max(0.0, message.budget_ms - MARGIN_MS)
        if not known:  # it may have run in a zone that only another node knows of
            self._finish(
                message.id, Response(503, b"not known yet where it belongs", retry_after_s=KNOWN_AGAIN_S)
            )
            return live
        event = api.Request(
            message.id, message.cls, ttl_ms, message.tenant, message.is_retry, body_complete, pin, key
        )
        self._handle(event)
        return live

    def _bound(self, message: ClientRequest) -> tuple[str | None, int | None, bool]:
        """The zone and the key that a request is bound to, if it is to any; whether that can be known."""
        cls, pin, known = self._balancer.classes[message.cls], None, True
        if self._shared is not None:
            self._shared.on_request(message.tenant)
        if message.key is None or not (cls.affinity or self._shared is not None):
            return None, None, True
        key = key_id(message.key)
        if self._shared is not None:
            pin, known = self._shared.zone_of_key(cls, key, message.is_retry)
        return pin, key, known

    def _run_time(self, live: Live, limited: bool = True) -> None:
        live.whole_ms = now_ms()
        live.ends_ms = live.whole_ms + live.message.budget_ms
        if limited:  # an answer that has begun to flow meanwhile is not
            live.backstop = self._loop.call_later(live.message.budget_ms / 1000.0, self._overdue, live)

    def body_complete(self, live: Live) -> None:
        """A request taken before has come whole: its time runs."""
        if self._live.get(live.message.id) is not live:
            return
        attempt = live.attempts[-1] if live.attempts else None
        self._run_time(live, limited=attempt is None or not attempt.streaming)
        self._handle(api.RequestComplete(live.message.id))
        if attempt is not None and isinstance(attempt.owner, Sending):
            left_ms = live.ends_ms - MARGIN_MS - now_ms()
            self._upstream.limit(attempt, min(attempt.owner.timeout_ms, left_ms))

    def client_disconnected(self, live: Live) -> None:
        """Nobody waits any more."""
        if not self._drop(live):
            return
        self._handle(api.ClientDisconnected(live.message.id))
        # What is still coming in or going out has nowhere to come from or to go.
        for attempt in live.attempts:
            if attempt.streaming or not live.message.body.complete:
                attempt.terminate(Result.CANCELLED)

    def _drop(self, live: Live) -> bool:
        """Forget a request, if it is still owed: whoever gets True has its one answer to give."""
        if self._live.get(live.message.id) is not live:
            return False
        del self._live[live.message.id]
        if live.backstop is not None:
            live.backstop.cancel()
        return True

    def _finish(self, id: str, reply: Response) -> None:
        live = self._live.get(id)
        if live is not None and self._drop(live):
            self.figures.on_request_completed(live.message.cls, reply.status)
            live.answering.answer(reply)
            live.message.body.close()

    def _overdue(self, live: Live) -> None:
        """Fail a request that the module has not ended by its deadline, whatever the reason."""
        left_ms = live.ends_ms - now_ms()
        if left_ms > 0.0:  # the loop's clock may run ahead: failing early would be a broken promise
            live.backstop = self._loop.call_later(left_ms / 1000.0 + 0.001, self._overdue, live)
        elif self._drop(live):
            logs.warning("overdue", "request %(id)s was not ended by its deadline", id=live.message.id)
            self.figures.on_request_completed(live.message.cls, 504)
            live.answering.answer(Response(504, b"no answer in time"))
            self._handle(api.ClientDisconnected(live.message.id))
            live.message.body.close()

    # The module

    def _handle(self, event: api.Event) -> None:
        """Give the module an event and do what it says; events raised meanwhile wait their turn."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self._balancer.handle(event, now_ms())
                except Exception:  # a request that this leaves open is failed by its backstop
                    logs.exception("error", "handling %(what)s", what=type(event).__name__)
                    continue
                for action in actions:
                    self._try(action)
        finally:
            self._handling = False

    def _try(self, action: api.Action) -> None:
        """Do one thing; where that fails, the others that were asked for with it are done all the same."""
        try:
            self._do(action)
        except Exception:
            logs.exception("error", "doing %(what)s", what=type(action).__name__)

    def _do(self, action: api.Action) -> None:
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
        live, server = self._live.get(action.id), action.server
        if live is not None and self._left(live):
            live = None
        if live is None or server not in self._in_service or not live.message.body.is_replayable():
            number = len(live.attempts) if live is not None else 0
            repeatable = live is not None and live.message.body.is_replayable()
            settled = live is None
            event = api.AttemptCompleted(
                action.id, number, server, Result.NOT_SENT, 0.0, settled, None, repeatable
            )
            return self._handle(event)
        # Cut to what is left: an outcome must come before the answer is due.
        timeout_ms = max(0.0, min(action.timeout_ms, live.ends_ms - MARGIN_MS - now_ms()))
        address, body = self._addresses[server], live.message.body
        chunked = not body.complete and body.length is None
        sending, number = Sending(self, live, server, timeout_ms), len(live.attempts)
        head = request_head(live.message, address, timeout_ms, chunked)
        attempt = self._upstream.send(
            server, address, head, body, chunked, timeout_ms, sending, action.send_window_ms
        )
        live.attempts.append(attempt)
        if not attempt.finished:
            self._attempts[action.id, number] = attempt

    def may_send(self, live: Live, server: int) -> bool:
        """Whether an attempt should still go out."""
        return self._live.get(live.message.id) is live and server in self._in_service and not self._left(live)

    def _left(self, live: Live) -> bool:
        """Whether a request's caller has gone: asked in the moment in which an attempt would begin."""
        if live.answering.is_disconnected():
            self.client_disconnected(live)
            return True
        return False

    def response_started(
        self, live: Live, event: api.StreamStarted, answer: ServerResponse, flow: FlowControl
    ) -> None:
        """An answer flows: the request is bound to it, and no deadline cuts it off."""
        if self._live.get(live.message.id) is not live:  # nobody waits for it
            attempt = self._attempts.get((event.id, event.attempt))
            if attempt is not None:
                self._loop.call_soon(attempt.terminate, Result.CANCELLED)
            return
        if live.backstop is not None:
            live.backstop.cancel()
        live.answering.start_response(answer.content_type, answer.length, flow)
        self._handle(event)

    def attempt_ended(self, live: Live, event: api.AttemptCompleted, answer: ServerResponse | None) -> None:
        """An attempt is over; with a whole answer the request is, and with a broken one that flowed."""
        attempt = self._attempts.pop((event.id, event.attempt), None)
        owed = self._live.get(event.id) is live
        if owed and attempt is not None and attempt.streaming:
            self._drop(live)
            served = event.result is Result.SERVED
            self.figures.on_request_completed(live.message.cls, 200 if served else 502)
            live.answering.finish() if served else live.answering.terminate()
            live.message.body.close()
        elif owed and event.result is Result.SERVED and answer is not None:
            self._finish(event.id, Response(200, answer.body, answer.content_type))
        event.final = self._live.get(event.id) is not live
        self._handle(event)
        if self._shared is not None:
            self._shared.on_attempt_completed(event.server, live.message.cls, event.result, event.duration_ms)

    # Discovery

    def _on_server_list(self, listing: ServerList | None, why: str) -> None:
        if listing is not None:
            self._take_listing(
                listing, api.ListUpdateKind.SNAPSHOT if listing.is_snapshot else api.ListUpdateKind.DELTA
            )
            return
        logs.info("discovery failed", "discovery: %(why)s", why=why)
        if self.config.settings.subscribes:
            self._handle(api.ServerListUpdate(api.ListUpdateKind.FAILED))
        else:
            self._loop.call_later(self.pause_s(), self._discovery.subscribe)

    def pause_s(self) -> float:
        """With jitter: what fails at one node often fails at all of them in the same moment."""
        return PUSHED_RETRY_S * (0.5 + self._rng.random())

    def _take_listing(self, listing: ServerList, kind: api.ListUpdateKind) -> None:
        if kind is not api.ListUpdateKind.DELTA:
            for server in self._addresses.keys() - listing.addresses.keys():
                self._forget(server)
        for entry in listing.entries:
            if entry.health is api.Health.TERMINATED:
                self._forget(entry.server)
                continue
            self._addresses[entry.server] = listing.addresses[entry.server]
            if entry.health is api.Health.IN_SERVICE:
                self._in_service.add(entry.server)
            else:
                self._in_service.discard(entry.server)
        self._handle(api.ServerListUpdate(kind, listing.index, listing.entries))
        if self._shared is not None:
            self._shared.on_server_list(listing)

    def _forget(self, server: int) -> None:
        self._in_service.discard(server)
        self._addresses.pop(server, None)
        self._upstream.forget_server(server)
