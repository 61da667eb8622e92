"""The attempts of one request: chooses the server for each and decides whether to retry."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict

from dunlinloft.dataplane.causes import Cause
from dunlinloft.dataplane.client_request import ClientRequest
from dunlinloft.dataplane.client_wait import effective_priority
from dunlinloft.dataplane.graceful_shutdown import GracefulShutdown
from dunlinloft.dataplane.http_headers import (
    API_KEY_HEADER,
    ATTEMPT_ID_HEADER,
    DEADLINE_HEADER,
    LAST_EVENT_ID_HEADER,
    PRIORITY_HEADER,
    TARGET_INSTANCE_HEADER,
    TENANT_ID_HEADER,
    end_to_end_headers,
)
from dunlinloft.dataplane.metrics import AttemptKind, PlacementSource
from dunlinloft.dataplane.placement_client import NoPlacement, PlacedRequest, RetryPlacementLater
from dunlinloft.dataplane.retry_budget import retry_granted
from dunlinloft.dataplane.server_pool import Server
from dunlinloft.dataplane.service_context import ServiceContext
from dunlinloft.dataplane.upstream import AttemptTrace
from dunlinloft.dataplane.verdict import AttemptFailure, Verdict, verdict_of_broken_attempt
from dunlinloft.transport.clock import now_ms

MAX_UNREACHABLE_SERVERS = 4  # failed connections after which a request is abandoned
# Backoff before the first retry, doubled with each attempt and jittered. The source of the retry design uses
# half a second for this (T1); the deadlines here leave no room for that (`docs/system.md`).
RETRY_BACKOFF_MS = 10.0
# Maximum share of its remaining time that a request past its latency target waits for a free slot.
SLOT_WAIT_REMAINING_SHARE = 0.5

# Client headers that are not forwarded; the node sets some of them itself.
_REPLACED_HEADERS = (
    API_KEY_HEADER,
    TENANT_ID_HEADER,
    TARGET_INSTANCE_HEADER,
    DEADLINE_HEADER,
    "Content-Length",
    "Expect",
    PRIORITY_HEADER,
)


@dataclass(frozen=True, slots=True)
class OpenResponse:
    """A response whose head has been received; `AttemptSequence.close` releases it."""

    server: Server
    response: aiohttp.ClientResponse


class AttemptSequence:
    """Sends one request and retries it if the retry policy allows; owned by its `Exchange`."""

    def __init__(
        self, client_request: ClientRequest, context: ServiceContext, shutdown: GracefulShutdown
    ) -> None:
        self._request = client_request
        self._context = context
        self._shutdown = shutdown
        self._id = client_request.http.headers.get(ATTEMPT_ID_HEADER, "")
        self._requirements = client_request.requirements()
        self._tried: list[str] = []  # ids of the servers that the request was sent to
        self._connected_attempts = 0  # attempts that established a connection
        self._unreachable_servers = 0  # servers that could not be connected to
        self._placements: dict[str, PlacedRequest] = {}  # by id of the server where it is in flight
        self._base_headers = self._forwarded_headers()
        self.may_have_executed = False
        context.budget.on_request(now_ms())

    def _forwarded_headers(self) -> CIMultiDict[str]:
        """The headers that are sent with every attempt."""
        headers = end_to_end_headers(CIMultiDict(self._request.http.headers))
        for name in _REPLACED_HEADERS:
            headers.popall(name, None)
        if self._request.tenant is not None:
            headers[TENANT_ID_HEADER] = self._request.tenant.name
        return headers

    async def open(self, last_event_id: str | None = None) -> OpenResponse | AttemptFailure:
        """Send attempts until a response can be relayed or no further attempt is allowed.

        Parameters
        ----------
        last_event_id
            Resume a stream after this event.
        """
        while True:
            if now_ms() >= self._request.deadline_ms:
                return AttemptFailure(Verdict.NOT_EXECUTED, Cause.NO_TIME, "no time left")
            server = await self._choose_server()
            if isinstance(server, AttemptFailure):
                return server
            result = await self._send(server, last_event_id)
            if not isinstance(result, AttemptFailure):
                return OpenResponse(server, result)
            if not await self.may_retry(result):
                return result

    async def may_retry(self, failure: AttemptFailure) -> bool:
        """Decide whether the request may be retried after a failure, and wait for the backoff.

        An attempt at an unreachable server doesn't count towards the route's maximum. Otherwise an attempt
        must be left, the request must be idempotent or known not to have been executed, the delay controller
        and the retry budget must grant the retry, and the backoff must end before the deadline.
        """
        if failure.cause is Cause.UNREACHED:
            self._unreachable_servers += 1
            return self._unreachable_servers < MAX_UNREACHABLE_SERVERS
        if self._connected_attempts >= self._request.active_route.route.max_attempts:
            return False
        if failure.verdict is not Verdict.NOT_EXECUTED and not self._request.idempotent:
            return False
        context = self._context
        if not retry_granted(context.pool.controller, context.rng.random(), now_ms()):
            return False
        if not context.budget.acquire_retry(context.node_count, now_ms()):
            return False
        backoff_ms = RETRY_BACKOFF_MS * 2.0 ** (self._connected_attempts - 1) * (0.5 + context.rng.random())
        if now_ms() + backoff_ms >= self._request.deadline_ms:
            return False
        await asyncio.sleep(backoff_ms / 1_000.0)
        return True

    def on_response_started(self) -> None:
        """Record the delay when relaying starts, and notify the service's owner."""
        now = now_ms()
        for placement in self._placements.values():
            placement.on_response_started()
        self._context.pool.controller.record_answer(
            now - self._request.arrived_ms, self._request.latency_target_ms, now, True
        )

    def close(self, opened: OpenResponse) -> None:
        """Release a completed attempt and its connection."""
        self._finish(opened.server)
        opened.response.close()

    def _finish(self, server: Server) -> None:
        server.on_finished(self._id)
        placement = self._placements.pop(server.record.id, None)
        if placement is not None:
            placement.finish(server.consecutive_failures > 0)

    # Server selection.

    async def _choose_server(self) -> Server | AttemptFailure:
        """The server that the service's owner chooses; without one, a server chosen locally."""
        context = self._context
        excluded = context.pool.excluded_ids(
            self._request.latency_target_ms, context.upstream.max_in_flight, self._tried, now_ms()
        )
        placement = await self._request_placement(excluded)
        if isinstance(placement, PlacedRequest):
            server = context.pool.servers.get(placement.server_id)
            if server is not None and not server.record.draining:
                self._placements[server.record.id] = placement
                context.metrics.placements[PlacementSource.OWNER] += 1
                return server
            placement.finish(False)
        elif isinstance(placement, AttemptFailure):
            return placement
        server = self._choose_locally()
        if server is None:
            return AttemptFailure(Verdict.NOT_EXECUTED, Cause.NO_SERVER, "no server has a place")
        return server

    def _choose_locally(self) -> Server | None:
        """Choose a server locally and report it to the owner, which tracks all requests in flight."""
        context = self._context
        requirements = self._requirements
        server = context.pool.select(requirements, context.upstream.max_in_flight, self._tried, now_ms())
        if server is None:
            return None
        context.metrics.placements[PlacementSource.NODE] += 1
        placement = context.placement.report_choice(context.service, requirements, server.record.id)
        if placement is not None:
            self._placements[server.record.id] = placement
        return server

    async def _request_placement(self, excluded: set[str]) -> PlacedRequest | NoPlacement | AttemptFailure:
        """Request a server from the service's owner.

        A request past its latency target waits for a free slot for at most `SLOT_WAIT_REMAINING_SHARE` of its
        remaining time, which a shutdown of this node shortens. After that it accepts a full server, unless it
        may outlast the shutdown: it could be abandoned in that server's queue; another node has more time.
        """
        context = self._context
        started_ms = now_ms()
        wait_for_capacity = self._request.waited_ms(started_ms) >= self._request.latency_target_ms
        while True:
            placement = await context.placement.request(
                context.service, self._requirements, excluded, wait_for_capacity, now_ms()
            )
            if not isinstance(placement, RetryPlacementLater):
                return placement
            await asyncio.sleep(placement.wait_ms * (0.5 + context.rng.random()) / 1_000.0)
            wait_for_capacity = now_ms() < self._slot_wait_end_ms(started_ms)
            if not wait_for_capacity and self._shutdown.is_outlasted_by(self._request.deadline_ms):
                return AttemptFailure(Verdict.NOT_EXECUTED, Cause.CLOSING, "this node ends")

    def _slot_wait_end_ms(self, started_ms: float) -> float:
        """When a wait for a free slot ends; earlier once the node shuts down."""
        deadline_ms = min(self._request.deadline_ms, self._shutdown.deadline_ms)
        return started_ms + SLOT_WAIT_REMAINING_SHARE * (deadline_ms - started_ms)

    # Sending one attempt.

    def _headers(self, server: Server, last_event_id: str | None) -> CIMultiDict[str]:
        now = now_ms()
        headers = self._base_headers.copy()
        headers[DEADLINE_HEADER] = str(max(1, math.floor(self._request.deadline_ms - now)))
        headers[TARGET_INSTANCE_HEADER] = server.record.id
        waited_ms = self._request.waited_ms(now)
        priority = effective_priority(self._request.priority, waited_ms, self._request.latency_target_ms)
        headers[PRIORITY_HEADER] = str(priority)
        if last_event_id is not None:
            headers[LAST_EVENT_ID_HEADER] = last_event_id
        return headers

    async def _send(
        self, server: Server, last_event_id: str | None
    ) -> aiohttp.ClientResponse | AttemptFailure:
        """Make one attempt and wait for the head of its response."""
        trace = AttemptTrace()
        kind = AttemptKind.RETRY if self._tried else AttemptKind.FIRST
        self._context.metrics.attempts[kind] += 1
        self._tried.append(server.record.id)
        server.on_sent(self._id, now_ms())
        try:
            result = await self._send_within_deadline(server, last_event_id, trace)
        except asyncio.CancelledError:
            self.may_have_executed |= trace.connected
            self._finish(server)
            raise
        self._connected_attempts += trace.connected
        if not isinstance(result, AttemptFailure):
            self.may_have_executed = True
            server.on_response(self._id, now_ms())
            return result
        if result.verdict is not Verdict.NOT_EXECUTED:
            self.may_have_executed = True
        self._record_failure(server, result, trace)
        self._finish(server)
        if trace.connected:
            return result
        return AttemptFailure(Verdict.NOT_EXECUTED, Cause.UNREACHED, "the server could not be reached")

    async def _send_within_deadline(
        self, server: Server, last_event_id: str | None, trace: AttemptTrace
    ) -> aiohttp.ClientResponse | AttemptFailure:
        """Send with the remaining time as timeout; a timeout is recorded as a delay of that length."""
        remaining_ms = self._request.deadline_ms - now_ms()
        try:
            async with asyncio.timeout(remaining_ms / 1_000.0):
                return await self._context.upstream.send(
                    server.record.address,
                    self._request.method,
                    self._request.target,
                    self._headers(server, last_event_id),
                    self._request.body,
                    trace,
                )
        except TimeoutError:
            self._context.pool.controller.record_answer(
                remaining_ms, self._request.latency_target_ms, now_ms(), False
            )
            return AttemptFailure(verdict_of_broken_attempt(trace.connected), Cause.LATE, "no answer in time")

    def _record_failure(self, server: Server, failure: AttemptFailure, trace: AttemptTrace) -> None:
        """Eject a server that failed; one that only declined is avoided for a shorter time."""
        if failure.verdict is Verdict.NOT_EXECUTED and trace.connected:
            server.on_declined(now_ms())
        else:
            server.on_failure(now_ms())
