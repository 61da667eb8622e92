"""A client's request as it was read, and what its headers tell of what it needs."""

from __future__ import annotations

from dataclasses import dataclass

from aiohttp.web_request import BaseRequest

from dunlinloft.configuration import Tenant
from dunlinloft.dataplane.routing import ActiveRoute
from dunlinloft.dataplane.servers import ServerNeeds

STREAMING = "streaming"
DEADLINE_HEADER = "X-Deadline-Ms"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request that was read whole and may be served. Times are of the steady clock."""

    http: BaseRequest
    method: str
    target: str  # path and query as they came
    body: bytes
    active_route: ActiveRoute
    tenant: Tenant | None
    arrived_ms: float
    ends_ms: float
    waited_ms: float  # by the client, before this try

    @property
    def aim_ms(self) -> float:
        """The time within which its answer earns its whole worth."""
        return self.active_route.route.target_latency_ms

    @property
    def streaming(self) -> bool:
        """Whether its answer is a series of events."""
        return self.active_route.route.type == STREAMING

    @property
    def idempotent(self) -> bool:
        """Whether it may run more than once."""
        route = self.active_route.route
        return route.type == "safe" or (self.streaming and route.resumable)

    @property
    def priority(self) -> int:
        """Its rank, 0 being highest; a tenant's goes before the route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.active_route.route.priority

    def client_waited_ms(self, now_ms: float) -> float:
        """How long the client has waited, over all its tries."""
        return self.waited_ms + now_ms - self.arrived_ms

    def needs(self) -> ServerNeeds:
        """What it needs of its server, as its headers tell."""
        text = self.http.headers.get("X-Prompt-Prefix")
        if text is None:
            return ServerNeeds(self.aim_ms)
        try:
            parts = tuple(_part(part) for part in text.split(","))
            answer = int(self.http.headers.get("X-Token-Usage", "0,0").partition(",")[2])
        except ValueError:
            return ServerNeeds(self.aim_ms)
        before_last = sum(size for _, size in parts[:-1])
        shared = (parts[-2][0], before_last) if len(parts) > 1 else None
        return ServerNeeds(self.aim_ms, shared, parts, answer)


def _part(text: str) -> tuple[str, int]:
    name, _, size = text.partition(":")
    return name.strip(), int(size)
