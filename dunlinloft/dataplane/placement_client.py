"""The client side of placement: requests a server from a service's owner, and reports the outcome.

Placement is advisory: if no reply arrives in time, the node chooses a server itself and only notifies the
owner, which tracks the requests in flight in the whole fleet.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
from collections.abc import Collection
from dataclasses import dataclass

from msgspec import Struct

from dunlinloft.coordination.placement.directory import placement_owner_address
from dunlinloft.coordination.stream import (
    LocalPlacement,
    PlacementCompleted,
    PlacementQuery,
    PlacementReply,
    PrefillCompleted,
)
from dunlinloft.dataplane.control_streams import ControlStreams
from dunlinloft.dataplane.server_pool import ServerRequirements

# Timeout of a placement request: a share of the request's latency target, but at least the minimum.
TIMEOUT_TARGET_SHARE = 0.2
MIN_TIMEOUT_MS = 20.0
# How long an owner gets no requests after one timed out while its stream was down.
OWNER_SUSPENSION_MS = 250.0


@dataclass(frozen=True, slots=True)
class RetryPlacementLater:
    """No server has a free slot, and the request may wait for one; request again after `wait_ms`."""

    wait_ms: float


class NoPlacement(enum.Enum):
    """Why there is no placement; the node chooses a server itself."""

    OWNER_UNAVAILABLE = "owner unavailable"  # unknown, suspended, or without a stream to it
    TIMED_OUT = "timed out"
    NO_SERVER = "no server"  # the owner knows no eligible server


class PlacedRequest:
    """A request that the owner counts as in flight at a server until `finish` is called."""

    def __init__(
        self, client: PlacementClient, owner: str, service: str, request_id: int, server_id: str
    ) -> None:
        self._client = client
        self._owner = owner
        self._service = service
        self._request_id = request_id
        self.server_id = server_id
        self._finished = False

    def on_response_started(self) -> None:
        """Report that the first bytes of the response have arrived."""
        if not self._finished:
            self._client.notify(self._owner, PrefillCompleted(self._service, self._request_id))

    def finish(self, failed: bool) -> None:
        """Report that the request is no longer in flight; later calls have no effect.

        Parameters
        ----------
        failed
            Whether its server failed.
        """
        if not self._finished:
            self._finished = True
            self._client.notify(self._owner, PlacementCompleted(self._service, self._request_id, failed))


class PlacementClient:
    """Requests placements over the control streams; `NodeState` passes it the replies."""

    def __init__(self, streams: ControlStreams) -> None:
        self._streams = streams
        self._pending: dict[int, asyncio.Future[PlacementReply]] = {}  # by request id
        self._request_ids = itertools.count(1)
        self._suspended_until_ms: dict[str, float] = {}  # by owner

    def notify(self, owner: str, message: Struct) -> None:
        """Send to an owner, if its stream is open; one that is gone no longer counts the request anyway."""
        self._streams.send(owner, message)

    def on_reply(self, owner: str, message: PlacementReply) -> None:
        """Handle an owner's reply; a placement that arrives too late is released."""
        future = self._pending.pop(message.request_id, None)
        if future is not None and not future.done():
            future.set_result(message)
        elif message.server_id:
            self._streams.send(owner, PlacementCompleted(message.service, message.request_id, False))

    def _owner(self, service: str) -> str | None:
        """The address of a service's owner; None before the control plane is known."""
        view = self._streams.view
        return None if view is None else placement_owner_address(service, view.chain)

    def report_choice(
        self, service: str, requirements: ServerRequirements, server_id: str
    ) -> PlacedRequest | None:
        """Notify the owner which server the node chose itself; None if no owner can be notified."""
        owner = self._owner(service)
        if owner is None:
            return None
        request_id = next(self._request_ids)
        message = LocalPlacement(
            request_id, service, requirements.prompt_segments, requirements.max_output_tokens, server_id
        )
        if not self._streams.send(owner, message):
            return None
        return PlacedRequest(self, owner, service, request_id, server_id)

    async def request(
        self,
        service: str,
        requirements: ServerRequirements,
        excluded: Collection[str],
        wait_for_capacity: bool,
        now_ms: float,
    ) -> PlacedRequest | RetryPlacementLater | NoPlacement:
        """Request a server from the owner.

        Parameters
        ----------
        excluded
            Ids of servers that must not be chosen.
        wait_for_capacity
            Whether the request should wait for a free slot rather than be declined by a full server.
        """
        owner = self._owner(service)
        if owner is None or now_ms < self._suspended_until_ms.get(owner, 0.0):
            return NoPlacement.OWNER_UNAVAILABLE
        request_id = next(self._request_ids)
        future: asyncio.Future[PlacementReply] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            message = PlacementQuery(
                request_id,
                service,
                requirements.prompt_segments,
                requirements.max_output_tokens,
                tuple(excluded),
                wait_for_capacity,
            )
            if not self._streams.send(owner, message):
                return NoPlacement.OWNER_UNAVAILABLE
            timeout_ms = max(MIN_TIMEOUT_MS, TIMEOUT_TARGET_SHARE * requirements.latency_target_ms)
            async with asyncio.timeout(timeout_ms / 1_000.0):
                placed = await future
        except TimeoutError:
            if not self._streams.alive(owner):
                self._suspended_until_ms[owner] = now_ms + OWNER_SUSPENSION_MS
            return NoPlacement.TIMED_OUT
        finally:
            self._pending.pop(request_id, None)
        if placed.server_id:
            return PlacedRequest(self, owner, service, request_id, placed.server_id)
        return RetryPlacementLater(placed.wait_ms) if placed.wait_ms else NoPlacement.NO_SERVER
